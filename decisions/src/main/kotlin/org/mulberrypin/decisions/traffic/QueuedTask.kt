/** Waiting tasks as the dispatch sees them. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.ordering.GroupStanding
import org.mulberrypin.decisions.ordering.WaitingFlow

/**
 * A waiting task at its place in the order of work.
 *
 * @property flow flow of work that the task is charged to
 * @property route name of the route that decides which engines may run the task; null if no route matches
 * @property isVersionBound true if only engines with the weights of the text so far may run the task
 * @property isAlone true if the task has to run without company at first
 */
internal data class QueuedTask(
    val job: String,
    val task: String,
    val flow: String,
    val rank: Int,
    val route: String?,
    val isVersionBound: Boolean,
    val isAlone: Boolean,
    val standing: GroupStanding,
    val remainingEvents: Long,
)

internal fun QueuedTask.waitingFlow(): WaitingFlow = WaitingFlow(flow, rank, standing)

/** The engines that a task may go to; tasks of equal demand find an engine or none alike. */
internal data class EngineDemand(
    val job: String,
    val route: String,
)

/** Null if the task's demand is its own, since it is bound to a version or matches no route. */
internal fun QueuedTask.engineDemand(): EngineDemand? =
    if (isVersionBound || isAlone) null else route?.let { EngineDemand(job, it) }
