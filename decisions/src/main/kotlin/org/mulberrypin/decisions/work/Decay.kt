/** How far something that was observed some time ago still holds. */
package org.mulberrypin.decisions.work

import kotlin.math.exp

/** Share of an observation of age [ageMilliseconds] that still holds, between 0 and 1. */
internal fun trust(
    ageMilliseconds: Long,
    lifetimeMilliseconds: Double,
): Double = exp(-ageMilliseconds.coerceAtLeast(0) / lifetimeMilliseconds)

/** Mean share of an observation that holds from its age [ageMilliseconds] on for [durationMilliseconds]. */
internal fun meanTrust(
    ageMilliseconds: Long,
    durationMilliseconds: Double,
    lifetimeMilliseconds: Double,
): Double {
    val duration = (durationMilliseconds / lifetimeMilliseconds).coerceAtLeast(SHORTEST_DURATION)
    return trust(ageMilliseconds, lifetimeMilliseconds) * (1 - exp(-duration)) / duration
}

/** Lower bound of a duration as a share of the lifetime; keeps the quotient defined. */
private const val SHORTEST_DURATION = 1e-3
