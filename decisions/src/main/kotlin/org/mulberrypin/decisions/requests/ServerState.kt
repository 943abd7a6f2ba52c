package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.EngineLoad

/**
 * A backend server as this instance sees it.
 *
 * @property slots requests that the server carries at the same time
 * @property reservedSlots slots kept free of rollout work
 * @property running requests that this instance has under way on the server
 * @property load the server's latest report of its load, or null before the first
 * @property loadMilliseconds time at which the report arrived
 * @property runningAtLoad requests that this instance had under way when the report arrived
 * @property breaker whether the server may be tried
 * @property partMilliseconds moving average of the time to the first part, in milliseconds
 */
public data class ServerState(
    val server: BackendServer,
    val pool: String,
    val slots: Int,
    val reservedSlots: Int,
    val running: Int = 0,
    val load: EngineLoad? = null,
    val loadMilliseconds: Long = 0,
    val runningAtLoad: Int = 0,
    val breaker: CircuitBreaker = CircuitBreaker(),
    val partMilliseconds: Double = 0.0,
)

/**
 * Estimates the requests on the server, those of other instances included: what the server reported, corrected by
 * what this instance has sent and seen finished since. A report older than [staleMilliseconds] counts less and less.
 */
internal fun ServerState.estimatedRunning(
    nowMilliseconds: Long,
    staleMilliseconds: Long = LOAD_STALE_MILLISECONDS,
): Double {
    val report = load ?: return running.toDouble()
    val others = (report.running + report.waiting - runningAtLoad).coerceAtLeast(0)
    val ageMilliseconds = nowMilliseconds - loadMilliseconds
    val trust = (1.0 - ageMilliseconds.toDouble() / staleMilliseconds).coerceIn(0.0, 1.0)
    return running + others * trust
}

/** Age at which a load report tells nothing any more, in milliseconds. */
private const val LOAD_STALE_MILLISECONDS = 10_000L
