package org.mulberrypin.decisions.objectives

/** The team and route whose events are counted together. */
public data class SeriesName(
    val team: String,
    val route: String,
)
