package org.mulberrypin.service.deployment

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger

/** Counters of the traffic duty. */
internal data class TrafficCounters(
    val requests: Counter,
    val refused: Counter,
    val attempts: Counter,
    val jobs: AtomicInteger,
    val tasks: AtomicInteger,
    val requestLatency: Timer,
    val readLatency: Timer,
)

/** Registers the counters of the traffic duty. */
internal fun trafficCounters(registry: MeterRegistry): TrafficCounters =
    TrafficCounters(
        requests = registry.counter("mulberrypin_requests"),
        refused = registry.counter("mulberrypin_requests_refused"),
        attempts = registry.counter("mulberrypin_attempts"),
        jobs = registry.gauge("mulberrypin_jobs_running", AtomicInteger()),
        tasks = registry.gauge("mulberrypin_tasks_running", AtomicInteger()),
        requestLatency = latencyHistogram(registry, "mulberrypin_request_latency"),
        readLatency = latencyHistogram(registry, "mulberrypin_job_call_latency"),
    )

/** Registers a histogram of latencies, from a few milliseconds to the longest time that a caller waits. */
private fun latencyHistogram(
    registry: MeterRegistry,
    name: String,
): Timer =
    Timer
        .builder(name)
        .publishPercentileHistogram()
        .minimumExpectedValue(Duration.ofMillis(SHORTEST_MILLISECONDS))
        .maximumExpectedValue(Duration.ofMillis(LONGEST_MILLISECONDS))
        .register(registry)

/** Smallest latency that the histograms tell apart, in milliseconds; the round trip between failure domains. */
private const val SHORTEST_MILLISECONDS = 1L

/** Largest latency that the histograms tell apart, in milliseconds; the longest timeout of a route. */
private const val LONGEST_MILLISECONDS = 12_000L
