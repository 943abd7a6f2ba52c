package org.mulberrypin.decisions.work

/**
 * Load that a backend server reports with an answer.
 *
 * @property running requests that run
 * @property waiting requests that are queued
 * @property slots requests that the server runs at once
 * @property slownessPercent how long work takes on the server's machine now, in percent of the usual time
 */
public data class LoadReport(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val slownessPercent: Int = USUAL_SLOWNESS_PERCENT,
)

/** Slowness of a machine on which work takes as long as usual, in percent. */
public const val USUAL_SLOWNESS_PERCENT: Int = 100
