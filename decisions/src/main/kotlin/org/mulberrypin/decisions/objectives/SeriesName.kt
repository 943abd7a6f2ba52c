package org.mulberrypin.decisions.objectives

/** Identifies a series by team and route. */
public data class SeriesName(
    val team: String,
    val route: String,
)
