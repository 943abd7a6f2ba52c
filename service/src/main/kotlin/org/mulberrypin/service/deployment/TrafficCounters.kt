package org.mulberrypin.service.deployment

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.mulberrypin.decisions.traffic.ForecastKind
import org.mulberrypin.decisions.traffic.LoadDecision
import org.mulberrypin.decisions.traffic.TrafficState
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger

/** Metrics of the traffic duty. */
internal data class TrafficCounters(
    val requests: Counter,
    val refused: Counter,
    val attempts: Counter,
    val jobs: AtomicInteger,
    val tasks: AtomicInteger,
    val evacuatedDomains: AtomicInteger,
    val coldServers: AtomicInteger,
    val coldClaims: Counter,
    val requestLatency: Timer,
    val jobCallLatency: Timer,
    val loadDecisions: Map<LoadDecision, Counter>,
    val forecasts: Map<ForecastKind, ForecastCounters>,
)

/** Registers the metrics of the traffic duty. */
internal fun trafficCounters(registry: MeterRegistry): TrafficCounters =
    TrafficCounters(
        requests = registry.counter("mulberrypin_requests"),
        refused = registry.counter("mulberrypin_requests_refused"),
        attempts = registry.counter("mulberrypin_attempts"),
        jobs = registry.gauge("mulberrypin_jobs_running", AtomicInteger()),
        tasks = registry.gauge("mulberrypin_tasks_running", AtomicInteger()),
        evacuatedDomains = registry.gauge("mulberrypin_failure_domains_evacuated", AtomicInteger()),
        coldServers = registry.gauge("mulberrypin_backend_servers_cold", AtomicInteger()),
        coldClaims = registry.counter("mulberrypin_cold_share_claims"),
        requestLatency = latencyHistogram(registry, "mulberrypin_request_latency"),
        jobCallLatency = latencyHistogram(registry, "mulberrypin_job_call_latency"),
        loadDecisions = mapOf(
            LoadDecision.YIELDED to registry.counter("mulberrypin_tasks_yielded"),
            LoadDecision.REFUSED_AT_ONCE to registry.counter("mulberrypin_requests_refused_at_once"),
            LoadDecision.RETRY_WITHHELD to registry.counter("mulberrypin_retries_withheld"),
        ),
        forecasts = forecastCounters(registry),
    )

/** Shows what the duty runs, as of [state]. */
internal fun TrafficCounters.show(
    state: TrafficState,
    runningTasks: Int,
) {
    val cold = state.coldServers.servers.values
        .count { it.isReportedCold }
    jobs.set(state.jobs.size)
    tasks.set(runningTasks)
    evacuatedDomains.set(state.evacuatedDomains.size)
    coldServers.set(cold)
}

/** Registers a latency histogram with buckets from the shortest to the longest expected latency. */
private fun latencyHistogram(
    registry: MeterRegistry,
    name: String,
): Timer =
    Timer
        .builder(name)
        .publishPercentileHistogram()
        .minimumExpectedValue(Duration.ofMillis(MIN_LATENCY_MILLISECONDS))
        .maximumExpectedValue(Duration.ofMillis(MAX_LATENCY_MILLISECONDS))
        .register(registry)

/** Lower bound of the histogram buckets, in milliseconds: the round trip between failure domains. */
private const val MIN_LATENCY_MILLISECONDS = 1L

/** Upper bound of the histogram buckets, in milliseconds: the longest timeout of a route. */
private const val MAX_LATENCY_MILLISECONDS = 12_000L
