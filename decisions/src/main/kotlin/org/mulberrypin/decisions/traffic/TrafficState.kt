package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.decisions.cold.ColdServers
import org.mulberrypin.decisions.division.DemandHistory
import org.mulberrypin.decisions.work.RunTimes
import org.mulberrypin.decisions.work.TextLengths
import org.mulberrypin.schema.generated.JobRecord

/**
 * State of the traffic decisions: routing, forwarded requests and batch jobs of this instance.
 *
 * @property routing routing table; null until a configuration has been loaded
 * @property leavingServers backend servers that have said that they are leaving
 * @property requests client requests and scoring calls that have no final response yet, by request number
 * @property storedJobs rows of the batch jobs of all instances as last read from the store, by job
 * @property jobs batch jobs that this instance runs, by job identifier
 * @property loading jobs of this instance that are being loaded, with the time at which loading began, in milliseconds
 * @property carriedTasks partial results of ended jobs that a later job may resume, by task identifier
 * @property namedVersions weight version that the engines should load, by model
 * @property suspects contents of client requests under which backend servers crashed, by digest
 * @property loadingServers engines that are expected to load weights now and refuse tasks meanwhile
 * @property divisions shares of the models in the engines of a pool, in thousandths, by pool
 * @property demandHistory work that the last steps of this instance's jobs asked for
 * @property liveInstances instances that are sending heartbeats
 * @property evacuatedDomains failure domains whose backend servers the operator lets nothing be sent to
 * @property returnedDomains when the evacuation of a failure domain was last taken back, in milliseconds
 * @property coldServers backend servers that get few requests while they are cold
 * @property runTimes learned run times of requests, by route
 * @property poolRunTimes learned run times of the requests that a pool gets from this instance, by pool
 * @property textLengths learned lengths of texts in relation to their hints, by route
 * @property nextInternalRequest number of the next request that this instance originates; counts down from -1 so
 * that it never equals a request number of the front end
 * @property queues what the order of work and the refusals depend on
 */
public data class TrafficState(
    val identity: InstanceIdentity,
    val routing: RoutingTable? = null,
    val leavingServers: LeavingServers = LeavingServers(),
    val backends: PersistentMap<String, Backend> = persistentMapOf(),
    val requests: PersistentMap<Long, ForwardedRequest> = persistentMapOf(),
    val storedJobs: PersistentMap<String, StoredJob> = persistentMapOf(),
    val jobs: PersistentMap<String, RunningJob> = persistentMapOf(),
    val loading: PersistentMap<String, Long> = persistentMapOf(),
    val carriedTasks: PersistentMap<String, CarriedTask> = persistentMapOf(),
    val suspects: PersistentMap<String, CrashSuspect> = persistentMapOf(),
    val namedVersions: Map<String, Long> = emptyMap(),
    val loadingServers: Set<String> = emptySet(),
    val divisions: Map<String, Map<String, Int>> = emptyMap(),
    val demandHistory: DemandHistory = DemandHistory(),
    val liveInstances: List<LiveInstance> = emptyList(),
    val evacuatedDomains: Set<String> = emptySet(),
    val returnedDomains: Map<String, Long> = emptyMap(),
    val coldServers: ColdServers = ColdServers(),
    val draining: Boolean = false,
    val runTimes: RunTimes = RunTimes(),
    val poolRunTimes: RunTimes = RunTimes(),
    val textLengths: TextLengths = TextLengths(),
    val nextInternalRequest: Long = -1,
    val lastTakeoverMilliseconds: Long = 0,
    val queues: QueueState = QueueState(),
)

/**
 * Identity of this instance.
 *
 * @property incarnation differs for each start of the process
 * @property capacity processor capacity in hundredths of a core; 0 if unknown
 */
public data class InstanceIdentity(
    val name: String,
    val incarnation: Long,
    val failureDomain: String,
    val capacity: Int = 0,
)

/**
 * An instance that sends heartbeats and is not shutting down.
 *
 * @property capacity processor capacity in hundredths of a core; 0 if unknown
 */
public data class LiveInstance(
    val name: String,
    val incarnation: Long,
    val capacity: Int = 0,
)

/** A batch job as read from the store; [version] is the version of its row. */
public data class StoredJob(
    val record: JobRecord,
    val version: Long,
)
