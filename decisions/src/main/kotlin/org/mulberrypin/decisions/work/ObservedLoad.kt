/**
 * Load of a backend server as reported by it. Reports are trusted less with age; what is no longer trusted counts as
 * the server's usual load, and in the end as that of the pool, so that an old report makes a server neither the best
 * nor the worst.
 */
package org.mulberrypin.decisions.work

/**
 * What the reports of one backend server say.
 *
 * @property others requests at the server, at the last report, that this instance had not sent
 * @property usualOthers these, smoothed over all reports
 * @property slowness time that work takes in relation to the usual time, at the last report
 * @property usualSlowness the slowness, smoothed over all reports
 * @property reports number of reports
 * @property reportedMilliseconds time of the last report
 */
public data class ObservedLoad(
    val others: Double = 0.0,
    val usualOthers: Double = 0.0,
    val slowness: Double = 1.0,
    val usualSlowness: Double = 1.0,
    val reports: Int = 0,
    val reportedMilliseconds: Long,
)

/** Adds a report that came while this instance had [ownInFlight] other requests at the server. */
internal fun ObservedLoad?.reported(
    report: LoadReport,
    ownInFlight: Int,
    nowMilliseconds: Long,
): ObservedLoad {
    val before = this ?: ObservedLoad(reportedMilliseconds = nowMilliseconds)
    val others = (report.running + report.waiting - ownInFlight).coerceAtLeast(0).toDouble()
    val ratio = report.slownessPercent / USUAL_SLOWNESS_PERCENT.toDouble()
    // A false report must not make a server the preferred one; that a server is fast shows in its times.
    val slowness = ratio.coerceIn(1.0, HIGHEST_SLOWNESS)
    val weight = maxOf(SMOOTHING, 1.0 / (before.reports + 2))
    return ObservedLoad(
        others = others,
        usualOthers = before.usualOthers + (others - before.usualOthers) * weight,
        slowness = slowness,
        usualSlowness = before.usualSlowness + (slowness - before.usualSlowness) * weight,
        reports = before.reports + 1,
        reportedMilliseconds = nowMilliseconds,
    )
}

/** Expected number of requests of others at the server; [poolOthers] is the mean of all servers. */
internal fun ObservedLoad.expectedOthers(
    poolOthers: Double,
    nowMilliseconds: Long,
): Double {
    val age = nowMilliseconds - reportedMilliseconds
    val usual = poolOthers + (usualOthers - poolOthers) * trust(age, USUAL_LIFETIME_MILLISECONDS)
    return usual + (others - usual) * trust(age, LOAD_LIFETIME_MILLISECONDS)
}

/** Expected slowness over work that takes [durationMilliseconds] from now on. */
internal fun ObservedLoad.expectedSlowness(
    durationMilliseconds: Double,
    nowMilliseconds: Long,
): Double {
    val age = nowMilliseconds - reportedMilliseconds
    val usual = 1 + (usualSlowness - 1) * trust(age, USUAL_LIFETIME_MILLISECONDS)
    return usual + (slowness - usual) * meanTrust(age, durationMilliseconds, SLOWNESS_LIFETIME_MILLISECONDS)
}

/** Weight of a new report in what is usual, once some are known. */
private const val SMOOTHING = 0.1

/** Time after which a third of a reported load still holds, in milliseconds: the run time of a few requests. */
private const val LOAD_LIFETIME_MILLISECONDS = 700.0

/** Time after which a third of a reported slowness still holds, in milliseconds; it changes several times a second. */
private const val SLOWNESS_LIFETIME_MILLISECONDS = 300.0

/** Time after which a third of what was usual still counts, in milliseconds. */
private const val USUAL_LIFETIME_MILLISECONDS = 10_000.0

/** Slowness beyond which a machine counts as no slower. */
private const val HIGHEST_SLOWNESS = 10.0
