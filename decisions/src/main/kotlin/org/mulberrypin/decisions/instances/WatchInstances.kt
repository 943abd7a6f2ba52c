/** Detects live instances from repeated reads of the heartbeat table, and sets the heartbeat interval. */
package org.mulberrypin.decisions.instances

import org.mulberrypin.schema.generated.InstanceHeartbeat

/**
 * Heartbeats of all instances as observed by one instance.
 *
 * @property observed newest heartbeat of each instance, by instance name
 */
public data class HeartbeatTracker(
    val observed: Map<String, ObservedHeartbeat> = emptyMap(),
)

/** A heartbeat and the number of consecutive reads in which it was unchanged. */
public data class ObservedHeartbeat(
    val heartbeat: InstanceHeartbeat,
    val unchangedReads: Int,
)

/**
 * Applies a successful read of the whole table. Must not be called after a failed read, so that a store outage
 * does not mark any instance as gone.
 */
public fun HeartbeatTracker.withReading(heartbeats: List<InstanceHeartbeat>): HeartbeatTracker =
    HeartbeatTracker(
        heartbeats.associate { heartbeat ->
            val previous = observed[heartbeat.name]
            val isSame = previous?.heartbeat == heartbeat
            heartbeat.name to ObservedHeartbeat(heartbeat, if (isSame) previous.unchangedReads + 1 else 0)
        },
    )

/** Instances whose heartbeats keep changing and that are not shutting down. */
public fun HeartbeatTracker.liveInstances(): List<InstanceHeartbeat> =
    observed.values
        .filter { it.unchangedReads < UNCHANGED_READS_LIMIT && !it.heartbeat.leaving }
        .map { it.heartbeat }

/** Heartbeat interval in milliseconds at which all live [instances] together stay within the heartbeat budget. */
public fun heartbeatMilliseconds(instances: Int): Long =
    maxOf(MIN_HEARTBEAT_INTERVAL_MILLISECONDS, instances * MILLISECONDS_PER_SECOND / MAX_HEARTBEATS_PER_SECOND)

/** Maximum heartbeat rate of all instances together: an eighth of the write rate of the smallest store in use. */
private const val MAX_HEARTBEATS_PER_SECOND = 100L

/** Minimum heartbeat interval in milliseconds: a sixth of the time that a lease takes to change its holder. */
private const val MIN_HEARTBEAT_INTERVAL_MILLISECONDS = 500L
private const val MILLISECONDS_PER_SECOND = 1_000L

/** Consecutive unchanged reads after which an instance is considered gone; there is one read per heartbeat interval. */
private const val UNCHANGED_READS_LIMIT = 3
