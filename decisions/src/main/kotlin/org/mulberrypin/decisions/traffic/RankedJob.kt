package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.ordering.GroupStanding

/**
 * A job with the standing of its groups.
 *
 * @property tasks waiting tasks in the order in which they should start
 */
internal data class RankedJob(
    val job: RunningJob,
    val rank: Int,
    val flow: String,
    val standings: Map<String, GroupStanding>,
    val tasks: List<QueuedTask>,
)
