package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.EngineLoad

/**
 * State of a backend server as observed by this instance.
 *
 * @property slots maximum number of concurrent requests on the server
 * @property reservedSlots slots reserved for interactive requests
 * @property running requests of this instance in flight on the server
 * @property load latest load report of the server; null when there is none
 * @property reportedMilliseconds time at which the load report arrived
 * @property runningAtReport requests of this instance in flight when the load report arrived
 * @property breaker circuit breaker of the server
 * @property averageFirstChunkMilliseconds exponential moving average of the time from dispatch to the first chunk
 */
public data class ServerState(
    val server: BackendServer,
    val pool: String,
    val slots: Int,
    val reservedSlots: Int,
    val running: Int = 0,
    val load: EngineLoad? = null,
    val reportedMilliseconds: Long = 0,
    val runningAtReport: Int = 0,
    val breaker: CircuitBreaker = CircuitBreaker(),
    val averageFirstChunkMilliseconds: Double = 0.0,
)

/**
 * Estimates the number of requests on the server: those of this instance, which are exact, plus those of other
 * instances according to the load report. The weight of the report decreases linearly with its age and reaches zero at
 * [expiryMilliseconds].
 */
internal fun ServerState.estimatedRequests(
    nowMilliseconds: Long,
    expiryMilliseconds: Long = REPORT_EXPIRY_MILLISECONDS,
): Double {
    val report = load ?: return running.toDouble()
    val others = (report.running + report.waiting - runningAtReport).coerceAtLeast(0)
    val ageMilliseconds = nowMilliseconds - reportedMilliseconds
    val reportWeight = (1.0 - ageMilliseconds.toDouble() / expiryMilliseconds).coerceIn(0.0, 1.0)
    return running + others * reportWeight
}

/** Age at which a load report is ignored, in milliseconds. */
private const val REPORT_EXPIRY_MILLISECONDS = 10_000L
