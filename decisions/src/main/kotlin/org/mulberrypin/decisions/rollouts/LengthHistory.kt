package org.mulberrypin.decisions.rollouts

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.SampleGroup

/**
 * The lengths of past groups of one trainer, by a digest of their prompts.
 *
 * Holds at most [LENGTH_HISTORY_LIMIT] prompts; further ones only move the mean.
 *
 * @property longestByPrompt tokens of the longest sample of the newest group with a prompt
 * @property groups groups that the mean is taken over
 * @property tokens sum of the longest samples of these groups
 * @property milliseconds sum of the times these groups took
 */
public data class LengthHistory(
    val longestByPrompt: PersistentMap<Long, Long> = persistentMapOf(),
    val groups: Long = 0,
    val tokens: Long = 0,
    val milliseconds: Long = 0,
) {
    /** Predicts the tokens of the longest sample for the prompt with a digest; 0 when nothing is known. */
    public fun predictTokens(promptDigest: Long): Long =
        longestByPrompt[promptDigest] ?: meanTokens()

    /** The mean length of the longest samples of all groups; 0 before the first. */
    public fun meanTokens(): Long = if (groups == 0L) 0 else tokens / groups

    /** Predicts the time a group takes whose longest sample has [expectedTokens]; null when nothing is known. */
    public fun predictMilliseconds(expectedTokens: Long): Long? =
        if (tokens == 0L) null else expectedTokens * milliseconds / tokens

    /** Adds a finished group that took [groupMilliseconds]. */
    public fun add(
        promptDigest: Long,
        group: SampleGroup,
        groupMilliseconds: Long,
    ): LengthHistory {
        val longest = group.samples.maxOf { it.tokens }
        val hasRoom = longestByPrompt.size < LENGTH_HISTORY_LIMIT || promptDigest in longestByPrompt
        return copy(
            longestByPrompt = if (hasRoom) longestByPrompt.put(promptDigest, longest) else longestByPrompt,
            groups = groups + 1,
            tokens = tokens + longest,
            milliseconds = milliseconds + groupMilliseconds,
        )
    }
}

/** The digest of a prompt by which its earlier lengths are found. */
public fun promptDigest(prompt: String): Long = Hashing.komihash5_0().hashCharsToLong(prompt)

/** Prompts of one trainer whose lengths are remembered at most. */
public const val LENGTH_HISTORY_LIMIT: Int = 4096
