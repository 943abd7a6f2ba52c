package org.mulberrypin.decisions.objectives

/**
 * A request that was measured against the objective of its team.
 *
 * @property good true when the request was answered within the team's target
 */
public data class ObjectiveEvent(
    val team: String,
    val route: String,
    val good: Boolean,
)
