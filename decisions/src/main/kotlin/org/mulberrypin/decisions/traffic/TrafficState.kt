package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.JobRecord

/**
 * All that the traffic duty knows.
 *
 * @property routing null until a configuration is known
 * @property requests requests of callers and scoring calls that are not answered
 * @property records batch jobs of all instances as the store last showed them
 * @property jobs batch jobs that this instance runs
 * @property loading jobs of this instance that are being loaded, with the time at which that began
 * @property carried texts of ended jobs that a later job may continue, by task
 * @property liveInstances instances whose heartbeats are seen
 * @property nextInternal number of the next request that the instance itself makes; counts down, so that it never
 * meets a number of the front end
 */
public data class TrafficState(
    val identity: InstanceIdentity,
    val routing: RoutingTable? = null,
    val backends: PersistentMap<String, Backend> = persistentMapOf(),
    val requests: PersistentMap<Long, ForwardedRequest> = persistentMapOf(),
    val records: PersistentMap<String, KnownJob> = persistentMapOf(),
    val jobs: PersistentMap<String, RunningJob> = persistentMapOf(),
    val loading: PersistentMap<String, Long> = persistentMapOf(),
    val carried: PersistentMap<String, CarriedTask> = persistentMapOf(),
    val liveInstances: List<LiveInstance> = emptyList(),
    val draining: Boolean = false,
    val nextInternal: Long = -1,
    val lastTakeoverMilliseconds: Long = 0,
)

/** Who this instance is; [incarnation] tells its starts apart. */
public data class InstanceIdentity(
    val name: String,
    val incarnation: Long,
    val failureDomain: String,
)

/** An instance whose heartbeat is seen and that is not leaving. */
public data class LiveInstance(
    val name: String,
    val incarnation: Long,
)

/** A batch job as the store shows it; [version] is the version of its row. */
public data class KnownJob(
    val record: JobRecord,
    val version: Long,
)
