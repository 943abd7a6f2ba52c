/** The order of a job's waiting tasks. */
package org.mulberrypin.decisions.ordering

/**
 * The result of ordering a job.
 *
 * @property standings standing by group
 * @property tasks waiting tasks in the order in which they should start
 */
public data class JobOrder(
    val standings: Map<String, GroupStanding>,
    val tasks: List<RankedTask>,
)

/** A waiting task at its place in the order of its job. */
public data class RankedTask(
    val task: String,
    val standing: GroupStanding,
    val remainingEvents: Long,
)
