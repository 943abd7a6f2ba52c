/**
 * What an instance knows of the work at one backend server, from its own requests and the server's answers. A server
 * that reports less load than it has is found out here: it takes longer than expected, or refuses.
 */
package org.mulberrypin.decisions.work

import java.util.Locale

/**
 * @property observed what the server's reports say; null before the first
 * @property speed time that requests took in relation to what was expected, smoothed; above 1 the server is slow
 * @property speedMilliseconds time of the last change of [speed]
 * @property idleConnections connections that this instance likely keeps open without a request
 * @property answeredMilliseconds time of the last answer, from which the age of idle connections counts
 */
public data class ServerWork(
    val observed: ObservedLoad? = null,
    val speed: Double = 1.0,
    val speedMilliseconds: Long = LONG_AGO,
    val idleConnections: Int = 0,
    val answeredMilliseconds: Long = LONG_AGO,
)

/** Takes an idle connection for a request. */
public fun ServerWork.sent(nowMilliseconds: Long): ServerWork =
    copy(idleConnections = if (isWarm(nowMilliseconds)) idleConnections - 1 else 0)

/** Returns the connection of a request that was answered in full. */
public fun ServerWork.answered(nowMilliseconds: Long): ServerWork {
    val idle = if (isWarm(nowMilliseconds)) idleConnections else 0
    return copy(idleConnections = idle + 1, answeredMilliseconds = nowMilliseconds)
}

/** Adds a report that came while this instance had [ownInFlight] other requests at the server. */
public fun ServerWork.reported(
    report: LoadReport?,
    ownInFlight: Int,
    nowMilliseconds: Long,
): ServerWork = if (report == null) this else copy(observed = observed.reported(report, ownInFlight, nowMilliseconds))

/** Notes that the server had no room for a request, whatever it reported. */
public fun ServerWork.refused(
    slots: Int,
    ownInFlight: Int,
    nowMilliseconds: Long,
): ServerWork {
    val reported = observed ?: ObservedLoad(reportedMilliseconds = nowMilliseconds)
    val others = maxOf(reported.others, (slots - ownInFlight).coerceAtLeast(0).toDouble())
    return copy(observed = reported.copy(others = others, reportedMilliseconds = nowMilliseconds))
}

/** Learns from a request that ran for [actualMilliseconds] and was expected to take [expectedMilliseconds]. */
public fun ServerWork.ran(
    expectedMilliseconds: Double,
    actualMilliseconds: Long,
    nowMilliseconds: Long,
): ServerWork {
    if (expectedMilliseconds <= 0) return this
    val before = expectedSpeed(nowMilliseconds)
    val ratio = (before * actualMilliseconds / expectedMilliseconds).coerceIn(FASTEST, SLOWEST)
    return copy(speed = before + (ratio - before) * SPEED_SMOOTHING, speedMilliseconds = nowMilliseconds)
}

/** The speed, which returns to that of all servers with time, so that a server that was slow is tried again. */
internal fun ServerWork.expectedSpeed(nowMilliseconds: Long): Double =
    1 + (speed - 1) * trust(nowMilliseconds - speedMilliseconds, SPEED_LIFETIME_MILLISECONDS)

/** Whether a connection to the server is likely open and idle. */
internal fun ServerWork.isWarm(nowMilliseconds: Long): Boolean =
    idleConnections > 0 && nowMilliseconds - answeredMilliseconds < WARM_MILLISECONDS

/** What the estimates of this server are based on, for the log. */
public fun ServerWork.describe(nowMilliseconds: Long): String {
    val load = observed?.let {
        "others=%.1f slowness=%.2f reportAge=%d ".format(
            Locale.ROOT,
            it.others,
            it.slowness,
            nowMilliseconds - it.reportedMilliseconds,
        )
    }
    return load.orEmpty() + "speed=%.2f".format(Locale.ROOT, expectedSpeed(nowMilliseconds))
}

/** A time before all others whose distance to any time can be computed. */
private const val LONG_AGO = Long.MIN_VALUE / 2

/** Weight of the last run in the speed of a server. */
private const val SPEED_SMOOTHING = 0.2

/** Time after which a third of a learned speed still counts, in milliseconds. */
private const val SPEED_LIFETIME_MILLISECONDS = 10_000.0

// Bounds of what one run can say of the speed of a server.
private const val FASTEST = 0.25
private const val SLOWEST = 4.0

/** Time for which a connection likely stays open, in milliseconds; a little less than the clients keep it. */
private const val WARM_MILLISECONDS = 3_500L
