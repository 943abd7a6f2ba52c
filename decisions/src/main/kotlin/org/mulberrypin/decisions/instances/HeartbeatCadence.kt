/**
 * Sets how often an instance writes its heartbeat and reads those of the others. Instances that are watched own work or
 * are next in line for it, and are few at any number of instances. The others only have to be known.
 */
package org.mulberrypin.decisions.instances

import org.mulberrypin.decisions.traffic.LiveInstance
import org.mulberrypin.decisions.traffic.jobOwners

/** Intervals between two writes of the own heartbeat, and between two reads of all heartbeats, in milliseconds. */
public data class HeartbeatCadence(
    val writeMilliseconds: Long,
    val readMilliseconds: Long,
)

/**
 * Cadence of a watched instance: a dead one is noticed within three writes and one read.
 *
 * @param watchedInstances number of watched instances; together they stay within the heartbeat budget
 */
public fun watchedCadence(watchedInstances: Int): HeartbeatCadence {
    val interval = watchedInstances * MILLISECONDS_PER_SECOND / MAX_HEARTBEATS_PER_SECOND
    return maxOf(MIN_HEARTBEAT_INTERVAL_MILLISECONDS, interval).let { HeartbeatCadence(it, it) }
}

/**
 * Cadence of an instance that owns nothing.
 *
 * @param instances number of live instances
 * @param maxReadMilliseconds longest time after which it must know what the others announce, in milliseconds
 */
public fun unwatchedCadence(
    instances: Int,
    maxReadMilliseconds: Long,
): HeartbeatCadence =
    HeartbeatCadence(
        writeMilliseconds = (instances * MILLISECONDS_PER_SECOND / USUAL_UNWATCHED_HEARTBEATS_PER_SECOND)
            .coerceIn(MIN_HEARTBEAT_INTERVAL_MILLISECONDS, USUAL_MAX_HEARTBEAT_INTERVAL_MILLISECONDS)
            .coerceAtLeast(instances * MILLISECONDS_PER_SECOND / MAX_UNWATCHED_HEARTBEATS_PER_SECOND),
        readMilliseconds = (instances * MILLISECONDS_PER_SECOND / MAX_UNWATCHED_READS_PER_SECOND)
            .coerceIn(MIN_HEARTBEAT_INTERVAL_MILLISECONDS, maxReadMilliseconds),
    )

/** Whether [instance] is the owner or first successor of jobs of one of [models], or not yet known as live. */
public fun isLikelyOwner(
    instance: String,
    models: Set<String>,
    instances: List<LiveInstance>,
): Boolean =
    instances.none { it.name == instance } ||
        models.any { model -> jobOwners(model, instances).take(LIKELY_OWNERS).any { it.name == instance } }

/** Number of instances that are watched for the jobs of one model: the owner and its successor. */
public const val LIKELY_OWNERS: Int = 2

/** Maximum heartbeat rate of all watched instances: an eighth of the write rate of the smallest store in use. */
private const val MAX_HEARTBEATS_PER_SECOND = 100L

/** Heartbeat rate of all other instances together until their interval reaches its usual maximum. */
private const val USUAL_UNWATCHED_HEARTBEATS_PER_SECOND = 20L

/** Heartbeat rate that all other instances together never exceed; the rest of the budget is for watched ones. */
private const val MAX_UNWATCHED_HEARTBEATS_PER_SECOND = 80L

/** Rate of reads of all other instances together until their interval reaches its maximum. */
private const val MAX_UNWATCHED_READS_PER_SECOND = 40L

/** Minimum heartbeat interval in milliseconds: a sixth of the time that a lease takes to change its holder. */
public const val MIN_HEARTBEAT_INTERVAL_MILLISECONDS: Long = 500

/** Maximum heartbeat interval in milliseconds, except where so many instances would exceed the budget. */
private const val USUAL_MAX_HEARTBEAT_INTERVAL_MILLISECONDS = 3_000L
private const val MILLISECONDS_PER_SECOND = 1_000L
