/** Observations and shares that the order of work and the refusals depend on. */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.decisions.ordering.WorkShares
import org.mulberrypin.decisions.requests.TeamShares

/**
 * What this instance remembers to order work and to refuse what can't be served. It is not stored: a successor starts
 * with equal shares and no observations.
 *
 * @property workShares work done by team and model of the jobs that this instance runs
 * @property requestShares work done by team for callers' requests, in milliseconds of run time
 * @property pools observations by pool
 * @property refusedCallers refused contents whose callers are expected to come back, by digest
 * @property wallOffsetMilliseconds wall-clock time minus the time on the clock of this process, as of the last tick
 */
public data class QueueState(
    val workShares: WorkShares = WorkShares(),
    val requestShares: TeamShares = TeamShares(),
    val pools: PersistentMap<String, PoolPressure> = persistentMapOf(),
    val refusedCallers: PersistentMap<String, RefusedCaller> = persistentMapOf(),
    val wallOffsetMilliseconds: Long = 0,
)

internal fun TrafficState.withQueues(change: (QueueState) -> QueueState): TrafficState = copy(queues = change(queues))

internal fun TrafficState.withWorkShares(change: (WorkShares) -> WorkShares): TrafficState =
    withQueues { it.copy(workShares = change(it.workShares)) }
