package org.mulberrypin.decisions.objectives

/**
 * A request that was measured against the latency objective of its team.
 *
 * @property good true if the request was answered within the team's target time
 */
public data class ObjectiveEvent(
    val team: String,
    val route: String,
    val good: Boolean,
)
