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
)

/** Registers the counters of the traffic duty. */
internal fun trafficCounters(registry: MeterRegistry): TrafficCounters =
    TrafficCounters(
        requests = registry.counter("mulberrypin_requests"),
        refused = registry.counter("mulberrypin_requests_refused"),
        attempts = registry.counter("mulberrypin_attempts"),
        jobs = registry.gauge("mulberrypin_jobs_running", AtomicInteger()),
        tasks = registry.gauge("mulberrypin_tasks_running", AtomicInteger()),
    )

/** Registers a histogram of latencies. */
internal fun latencyHistogram(
    registry: MeterRegistry,
    name: String,
): Timer =
    Timer
        .builder(name)
        .serviceLevelObjectives(*latencyBuckets)
        .register(registry)

private val latencyBuckets =
    longArrayOf(5, 20, 50, 100, 150, 300, 500, 1_000, 2_000, 5_000, 10_000).map(Duration::ofMillis).toTypedArray()
