/** Decides from repeated readings of the heartbeat table which instances are alive, and how often they write to it. */
package org.mulberrypin.decisions.instances

import org.mulberrypin.schema.generated.InstanceHeartbeat

/**
 * What one instance has seen of the heartbeats of all.
 *
 * @property seen the newest heartbeat of each instance and how many readings in a row showed it unchanged
 */
public data class InstanceWatch(
    val seen: Map<String, SeenHeartbeat> = emptyMap(),
)

/** A heartbeat and the number of readings since it last changed. */
public data class SeenHeartbeat(
    val heartbeat: InstanceHeartbeat,
    val unchangedReadings: Int,
)

/** Takes a reading of the whole table. Only readings that succeeded count: an outage of the store kills nobody. */
public fun InstanceWatch.read(heartbeats: List<InstanceHeartbeat>): InstanceWatch =
    InstanceWatch(
        heartbeats.associate { heartbeat ->
            val known = seen[heartbeat.name]
            val isSame = known?.heartbeat == heartbeat
            heartbeat.name to SeenHeartbeat(heartbeat, if (isSame) known.unchangedReadings + 1 else 0)
        },
    )

/** The instances whose heartbeats go on and that are not leaving. */
public fun InstanceWatch.liveInstances(): List<InstanceHeartbeat> =
    seen.values
        .filter { it.unchangedReadings < MISSED_READINGS && !it.heartbeat.leaving }
        .map { it.heartbeat }

/** Time between two heartbeats of an instance when [instances] are alive, so that all together stay within a budget. */
public fun heartbeatMilliseconds(instances: Int): Long =
    maxOf(SHORTEST_HEARTBEAT_MILLISECONDS, instances * MILLISECONDS_PER_SECOND / HEARTBEATS_PER_SECOND)

/** Heartbeats a second of all instances together; an eighth of the writes that the smallest store of today takes. */
private const val HEARTBEATS_PER_SECOND = 100L

/** Shortest time between two heartbeats, in milliseconds; a sixth of the time in which a lease changes hands. */
private const val SHORTEST_HEARTBEAT_MILLISECONDS = 500L
private const val MILLISECONDS_PER_SECOND = 1_000L

/** Readings without a new heartbeat after which an instance counts as gone; readings come once for each heartbeat. */
private const val MISSED_READINGS = 3
