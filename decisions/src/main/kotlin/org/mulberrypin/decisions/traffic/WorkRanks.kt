/** The rank of work, and the priority that backend servers are told of it. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.ServingConfiguration
import org.mulberrypin.schema.generated.ServingRoute

/** Rank of a team's work on [route]; 0 is the highest. A team's own priority goes before that of the route. */
internal fun TrafficState.rankOf(
    route: ServingRoute,
    team: String?,
): Int = team?.let { routing?.priorityByTeam?.get(it) } ?: route.priority

/** Priority to state to a backend server, from 0 (first) to 9 (last); null if the server's default applies. */
internal fun TrafficState.serverPriority(
    route: ServingRoute,
    team: String?,
): Int? = routing?.serverPriorities?.get(rankOf(route, team))?.takeIf { it != DEFAULT_SERVER_PRIORITY }

/** Priority to state to the engine of [task]; null if the engine's default applies. */
internal fun TrafficState.taskPriority(
    job: RunningJob,
    task: TaskProgress,
): Int? = routing?.findRoute(job.record.host, task.task.path)?.let { serverPriority(it, job.record.team) }

/**
 * Maps the priorities of a configuration to those of backend servers; empty unless the configuration's priorities
 * differ. Priorities from 0 to 9 are kept; if there are others, only their order is.
 */
internal fun serverPrioritiesOf(configuration: ServingConfiguration): Map<Int, Int> {
    val stated = configuration.routes.map { it.priority } + configuration.teams.mapNotNull { it.priority }
    val ordered = stated.distinct().sorted()
    return when {
        ordered.size < 2 -> emptyMap()
        ordered.all { it in 0..LAST_SERVER_PRIORITY } -> ordered.associateWith { it }
        else -> ordered.withIndex().associate { (index, priority) -> priority to scaled(index, ordered.size) }
    }
}

/** Maps positions among up to ten priorities to themselves, and spreads more over the whole range. */
private fun scaled(
    index: Int,
    count: Int,
): Int = if (count <= LAST_SERVER_PRIORITY + 1) index else index * LAST_SERVER_PRIORITY / (count - 1)

/** Priority that a backend server assumes if it is told none. */
private const val DEFAULT_SERVER_PRIORITY = 5

/** Lowest priority that a backend server knows. */
private const val LAST_SERVER_PRIORITY = 9
