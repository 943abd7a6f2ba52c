/** Observations and shares that the order of work and the refusals depend on. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.ordering.WorkShares

/**
 * What this instance remembers to order work and to refuse what can't be served. It is not stored: a successor starts
 * with equal shares and no observations.
 *
 * @property workShares work done by team and model of the jobs that this instance runs
 * @property wallOffsetMilliseconds wall-clock time minus the time on the clock of this process, as of the last tick
 */
public data class QueueState(
    val workShares: WorkShares = WorkShares(),
    val wallOffsetMilliseconds: Long = 0,
)

internal fun TrafficState.withQueues(change: (QueueState) -> QueueState): TrafficState = copy(queues = change(queues))

internal fun TrafficState.withWorkShares(change: (WorkShares) -> WorkShares): TrafficState =
    withQueues { it.copy(workShares = change(it.workShares)) }
