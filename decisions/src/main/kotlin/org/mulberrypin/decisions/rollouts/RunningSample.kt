package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.schema.generated.Sample

/**
 * A sample that is being generated or scored.
 *
 * @property number number of the sample within its attempt at the group
 * @property startedMilliseconds time of its submission, by the clock of this process
 * @property parts pieces of text received so far
 * @property tokens number of tokens received so far
 * @property oldestVersion oldest weight version that produced a received token; null before the first token
 * @property submitAtMilliseconds time of its next submission; null while its request is in flight or it is scored
 * @property unscoredSample the completed sample while its scoring is pending; null before
 */
public data class RunningSample(
    val group: GroupAttemptKey,
    val number: Int,
    val startedMilliseconds: Long,
    val parts: PersistentList<String> = persistentListOf(),
    val tokens: Long = 0,
    val oldestVersion: Long? = null,
    val submitAtMilliseconds: Long? = null,
    val unscoredSample: Sample? = null,
)
