package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.Sample

/**
 * A group that this instance generates.
 *
 * @property assignment what the holder asked for, with the newest minimum version
 * @property calls calls of the holder that wait for the result, at most [GROUP_CALL_LIMIT]
 * @property sequence order in which assignments arrived
 * @property assignedMilliseconds when it arrived, by the clock of this process
 * @property started true once its first samples were submitted
 * @property finished whole and scored samples
 * @property nextSample number of its next sample
 * @property failures samples that failed so far, those that were too old included
 * @property tooOld samples that were given up because they were too old or would have become so
 * @property additionalUsed additional samples started so far
 */
public data class AssignedGroup(
    val assignment: GroupAssignment,
    val calls: PersistentList<Long>,
    val sequence: Long,
    val assignedMilliseconds: Long,
    val started: Boolean = false,
    val finished: PersistentList<Sample> = persistentListOf(),
    val nextSample: Int = 1,
    val failures: Int = 0,
    val tooOld: Int = 0,
    val additionalUsed: Int = 0,
) {
    /** The trainer, unique over all teams. */
    public val owner: String
        get() = "${assignment.team}/${assignment.trainer}"
}

/** Calls that wait for the result of one group at most. */
public const val GROUP_CALL_LIMIT: Int = 4
