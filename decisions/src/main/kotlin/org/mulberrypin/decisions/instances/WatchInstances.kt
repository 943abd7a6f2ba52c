/** Detects live instances from repeated reads of the heartbeat table. */
package org.mulberrypin.decisions.instances

import org.mulberrypin.schema.generated.InstanceHeartbeat

/**
 * Heartbeats of all instances as observed by one instance.
 *
 * @property observed newest heartbeat of each instance, by instance name
 * @property lastReadMilliseconds time of the last successful read, by the monotonic clock; null before the first
 */
public data class HeartbeatTracker(
    val observed: Map<String, ObservedHeartbeat> = emptyMap(),
    val lastReadMilliseconds: Long? = null,
)

/**
 * A heartbeat, the number of consecutive reads in which it was unchanged, and the time that these reads span; a gap
 * between two reads counts as [MAX_READ_GAP_MILLISECONDS] at most.
 */
public data class ObservedHeartbeat(
    val heartbeat: InstanceHeartbeat,
    val unchangedReads: Int = 0,
    val unchangedMilliseconds: Long = 0,
)

/**
 * Applies a successful read of the table, of which only [changed] rows are decoded. Must not be called after a failed
 * read, so that a store outage does not mark any instance as gone.
 *
 * @param present names of all instances that have a row
 */
public fun HeartbeatTracker.withReading(
    changed: List<InstanceHeartbeat>,
    present: Set<String>,
    nowMilliseconds: Long,
): HeartbeatTracker {
    val gapMilliseconds = lastReadMilliseconds?.let { minOf(nowMilliseconds - it, MAX_READ_GAP_MILLISECONDS) } ?: 0
    val kept = observed.filterKeys { it in present }.mapValues { (_, known) ->
        known.copy(
            unchangedReads = known.unchangedReads + 1,
            unchangedMilliseconds = known.unchangedMilliseconds + gapMilliseconds,
        )
    }
    val renewed = changed
        .filter { observed[it.name]?.heartbeat != it }
        .associate { it.name to ObservedHeartbeat(it) }
    return HeartbeatTracker(kept + renewed, nowMilliseconds)
}

/** Instances whose heartbeats keep changing and that are not shutting down. */
public fun HeartbeatTracker.liveInstances(): List<InstanceHeartbeat> =
    observed.values
        .filter { !it.isGone() && !it.heartbeat.leaving }
        .map { it.heartbeat }

private fun ObservedHeartbeat.isGone(): Boolean =
    unchangedReads >= MISSED_HEARTBEATS_LIMIT &&
        unchangedMilliseconds >= MISSED_HEARTBEATS_LIMIT * heartbeat.intervalMilliseconds

/** Consecutive unchanged reads, and missed intervals, after which an instance is considered gone. */
private const val MISSED_HEARTBEATS_LIMIT = 3

/** Largest part of the time between two reads that counts towards the absence of an instance, in milliseconds. */
public const val MAX_READ_GAP_MILLISECONDS: Long = 2_000
