package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.Sample

/**
 * An attempt at a group that the holder of its step assigned to this instance.
 *
 * @property assignment the assignment, with the newest minimum weight version that the holder sent
 * @property calls numbers of the holder's calls that await the result, at most [GROUP_CALL_LIMIT]
 * @property sequence position of the assignment in the order of arrival
 * @property assignedMilliseconds time of arrival, by the clock of this process
 * @property started true once its first samples have been submitted
 * @property finishedSamples samples that are completed and scored
 * @property nextSample number of the next sample of this attempt
 * @property failedSamples number of failed samples so far, except the stale ones
 * @property staleSamples number of samples discarded because they violated the staleness bound or were predicted to
 * @property additionalSamplesUsed number of additional samples started so far
 */
public data class AssignedGroup(
    val assignment: GroupAssignment,
    val calls: PersistentList<Long>,
    val sequence: Long,
    val assignedMilliseconds: Long,
    val started: Boolean = false,
    val finishedSamples: PersistentList<Sample> = persistentListOf(),
    val nextSample: Int = 1,
    val failedSamples: Int = 0,
    val staleSamples: Int = 0,
    val additionalSamplesUsed: Int = 0,
) {
    /** Identifies the trainer among the trainers of all teams. */
    public val owner: String
        get() = "${assignment.team}/${assignment.trainer}"
}

/** Maximum number of calls that await the result of one group. */
public const val GROUP_CALL_LIMIT: Int = 4
