/** Test configuration with a plain pool, an engine pool and a team, and helpers that feed events to the decisions. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.JobTask
import org.mulberrypin.schema.generated.PoolWeight
import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.ScoringCall
import org.mulberrypin.schema.generated.ServedModel
import org.mulberrypin.schema.generated.ServingConfiguration
import org.mulberrypin.schema.generated.ServingPool
import org.mulberrypin.schema.generated.ServingRoute
import org.mulberrypin.schema.generated.ServingTeam

internal const val KEY = "key-1"
internal const val TEAM = "team-1"
internal const val HOST = "shop.example"
internal const val MODEL = "sorter"
internal val identity = InstanceIdentity("entry-1", 1, "zone-a")

/** Applies events to a state and stores the effects of the last one. */
internal class TrafficFixture(
    var state: TrafficState = TrafficState(identity),
) {
    var nowMilliseconds = 1_000L
    var effects: List<TrafficEffect> = emptyList()

    fun decide(event: TrafficEvent): List<TrafficEffect> {
        val transition = decideTraffic(state, event, nowMilliseconds, nowMilliseconds)
        state = transition.state
        effects = transition.effects
        return effects
    }

    inline fun <reified Effect : TrafficEffect> singleEffect(): Effect = effects.filterIsInstance<Effect>().single()

    inline fun <reified Effect : TrafficEffect> effectsOf(): List<Effect> = effects.filterIsInstance<Effect>()
}

internal fun fixture(
    kind: RequestKind = RequestKind.IDEMPOTENT,
    plainServers: Int = 3,
    engines: Int = 2,
): TrafficFixture {
    val fixture = TrafficFixture()
    fixture.decide(TrafficEvent.ConfigurationChanged(configuration(kind)))
    val servers = (1..plainServers).map { plainServer("plain-$it") } + (1..engines).map { engine("engine-$it") }
    fixture.decide(TrafficEvent.BackendsChanged(servers))
    fixture.decide(TrafficEvent.LiveInstancesRead(listOf(LiveInstance(identity.name, identity.incarnation))))
    return fixture
}

internal fun configuration(kind: RequestKind): ServingConfiguration =
    ServingConfiguration(
        version = 1,
        routes = listOf(
            ServingRoute(
                name = "orders",
                host = HOST,
                pathPrefix = "/orders/",
                kind = kind,
                timeoutMilliseconds = 800,
                objectiveMilliseconds = 150,
                pools = listOf(PoolWeight("plain", 1)),
                attemptLimit = 2,
            ),
            ServingRoute(
                name = "scores",
                host = HOST,
                pathPrefix = "/scores/",
                openToAll = true,
                pools = listOf(PoolWeight("plain", 1)),
                attemptLimit = 2,
            ),
            ServingRoute(
                name = "sort",
                host = HOST,
                pathPrefix = "/sort/",
                kind = RequestKind.ROLLOUT,
                pools = listOf(PoolWeight("engines", 1)),
                attemptLimit = 3,
                taskExpiryMilliseconds = 40_000,
            ),
        ),
        pools = listOf(ServingPool("plain"), ServingPool("engines", models = listOf(MODEL))),
        teams = listOf(ServingTeam(TEAM, listOf(KEY))),
    )

internal fun plainServer(id: String) =
    BackendServerEntry(id = id, pool = "plain", address = "10.0.0.1:80", failureDomain = "zone-a", slots = 6)

internal fun engine(
    id: String,
    version: Long = 1,
    slots: Int = 8,
) = BackendServerEntry(
    id = id,
    pool = "engines",
    address = "10.0.0.2:80",
    failureDomain = "zone-a",
    slots = slots,
    models = listOf(ServedModel(MODEL, version)),
)

internal fun arrival(
    request: Long,
    path: String = "/orders/1",
    key: String? = KEY,
) = TrafficEvent.RequestArrived(request, "id-$request", HOST, path, key, deadlineMilliseconds = 800)

internal fun response(
    send: TrafficEffect.Send,
    status: Int = 200,
    notRun: Boolean = false,
    signed: Boolean = true,
) = TrafficEvent.ResponseReceived(send.request, send.attempt, status, notRun, signed, "signature-${send.request}", null)

internal fun submission(tasks: Int): JobSubmission =
    JobSubmission(
        step = 1,
        model = MODEL,
        minimumVersion = 1,
        wantedGroups = 1,
        tasks = (1..tasks).map {
            JobTask(
                id = "task-$it",
                path = "/sort/$it",
                group = "group-${(it - 1) / 2}",
                scoring = ScoringCall("score-$it", HOST, "/scores/$it"),
            )
        },
    )

internal fun ownRecord(total: Int): JobRecord =
    JobRecord(
        id = "job-1",
        team = TEAM,
        host = HOST,
        path = "/sort/",
        model = MODEL,
        total = total,
        submittedWallMilliseconds = 1_000,
        owner = identity.name,
        ownerIncarnation = identity.incarnation,
    )

/** Starts a job that this instance owns, and returns the tasks that it dispatches. */
internal fun TrafficFixture.startJob(tasks: Int): List<TrafficEffect.RunTask> {
    decide(TrafficEvent.JobStored(7, ownRecord(tasks), 10, submission(tasks), emptyMap()))
    return effectsOf()
}

/** Starts the stream of a dispatched task and delivers [events]. */
internal fun TrafficFixture.deliverEvents(
    run: TrafficEffect.RunTask,
    events: LongRange = 1L..3L,
) {
    decide(TrafficEvent.TaskResponseReceived(run.job, run.task.id, run.attempt, 200, notRun = false, version = 1))
    decide(
        TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, events.map { TaskEvent(it, "e$it", null) }),
    )
}

/** Completes the stream of a task and its scoring call, after which its result can be written. */
internal fun TrafficFixture.complete(run: TrafficEffect.RunTask) {
    deliverEvents(run)
    decide(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
    val send = effectsOf<TrafficEffect.Send>().single()
    decide(response(send))
}
