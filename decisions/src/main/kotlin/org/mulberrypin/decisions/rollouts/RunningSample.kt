package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.schema.generated.Sample

/**
 * A sample that is being generated or scored.
 *
 * @property number number of the sample within its attempt at the group
 * @property startedMilliseconds when it was submitted, by the clock of this process
 * @property parts text received so far
 * @property tokens tokens received so far
 * @property oldestVersion oldest weight version that produced a token so far; null before the first
 * @property submitAtMilliseconds when it is submitted again after a refusal; null while it is under way
 * @property sample the whole sample while its score is awaited
 */
public data class RunningSample(
    val group: GroupName,
    val number: Int,
    val startedMilliseconds: Long,
    val parts: PersistentList<String> = persistentListOf(),
    val tokens: Long = 0,
    val oldestVersion: Long? = null,
    val submitAtMilliseconds: Long? = null,
    val sample: Sample? = null,
)
