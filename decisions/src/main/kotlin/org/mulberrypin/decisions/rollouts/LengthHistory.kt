package org.mulberrypin.decisions.rollouts

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.SampleGroup

/**
 * Lengths of the completed groups of one trainer, keyed by a digest of their prompts.
 *
 * Holds at most [LENGTH_HISTORY_LIMIT] prompts; further prompts contribute to the mean only.
 *
 * @property longestTokensByPrompt tokens of the longest sample in the newest group, by digest of its prompt
 * @property groups number of completed groups, the divisor of the mean
 * @property tokens sum of the tokens of the longest samples of these groups
 * @property milliseconds sum of the durations of these groups
 */
public data class LengthHistory(
    val longestTokensByPrompt: PersistentMap<Long, Long> = persistentMapOf(),
    val groups: Long = 0,
    val tokens: Long = 0,
    val milliseconds: Long = 0,
) {
    /** Predicts the tokens of the longest sample for a prompt digest; 0 when the trainer has no history. */
    public fun predictTokens(promptDigest: Long): Long =
        longestTokensByPrompt[promptDigest] ?: meanTokens()

    /** Returns the mean tokens of the longest samples of all groups; 0 before the first group. */
    public fun meanTokens(): Long = if (groups == 0L) 0 else tokens / groups

    /** Predicts the duration of a group whose longest sample has [expectedTokens] tokens; null without a history. */
    public fun predictMilliseconds(expectedTokens: Long): Long? =
        if (tokens == 0L) null else expectedTokens * milliseconds / tokens

    /** Returns the history with a completed group that took [groupMilliseconds]. */
    public fun add(
        promptDigest: Long,
        group: SampleGroup,
        groupMilliseconds: Long,
    ): LengthHistory {
        val longest = group.samples.maxOf { it.tokens }
        val hasCapacity = longestTokensByPrompt.size < LENGTH_HISTORY_LIMIT || promptDigest in longestTokensByPrompt
        return copy(
            longestTokensByPrompt =
                if (hasCapacity) longestTokensByPrompt.put(promptDigest, longest) else longestTokensByPrompt,
            groups = groups + 1,
            tokens = tokens + longest,
            milliseconds = milliseconds + groupMilliseconds,
        )
    }
}

/** Returns the digest of a prompt under which the history keeps its length. */
public fun promptDigest(prompt: String): Long = Hashing.komihash5_0().hashCharsToLong(prompt)

/** Maximum number of prompts in the history of one trainer. */
public const val LENGTH_HISTORY_LIMIT: Int = 4096
