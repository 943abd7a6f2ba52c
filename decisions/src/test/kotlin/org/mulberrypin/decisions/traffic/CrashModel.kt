package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.CrashRecord
import org.mulberrypin.schema.generated.RequestKind
import kotlin.random.Random

/**
 * A model in simulated time of several instances and the servers behind them, in steps of 10 ms. A server that crashes
 * loses all connections, refuses new ones and is back after [DOWN_MILLISECONDS] as a new lifetime. Servers crash under
 * the contents and tasks of [poison], and in the bursts of [crashes].
 *
 * @property unlucky number of first runs during which the server crashes, by sound task
 * @property crashes times at which a share of the servers crashes, in milliseconds
 */
internal class CrashModel(
    private val random: Random,
    private val poison: Set<String>,
    private val crashes: Map<Long, Double> = emptyMap(),
    private val unlucky: Map<String, Int> = emptyMap(),
) {
    private val names = (1..INSTANCES).map { "entry-$it" }
    private val instances = names.map { TrafficFixture(TrafficState(InstanceIdentity(it, 1, "zone-a"))) }
    var nowMilliseconds = 1_000L
    val sends = ArrayList<ModelSend>()
    val replies = LinkedHashMap<Long, ModelReply>()
    private val listed = HashSet<String>()
    private val servers = ((1..SERVERS).map { plainServer("plain-$it") } + (1..SERVERS).map { engine("engine-$it") })
        .associate { it.id to ModelServer(it) }
    private val streams = ArrayList<ModelStream>()
    private val announced = HashMap<Int, List<CrashRecord>>()

    init {
        instances.indices.forEach { instance ->
            tell(instance, TrafficEvent.ConfigurationChanged(configuration(RequestKind.IDEMPOTENT)))
            tell(instance, TrafficEvent.LiveInstancesRead(names.map { LiveInstance(it, 1) }))
        }
        publishServers()
    }

    /** Tasks of the job whose text and score are complete. */
    val completedTasks: Set<String>
        get() = listed

    fun startJob(tasks: Int) =
        tell(0, TrafficEvent.JobStored(7, ownRecord(tasks), 10, submission(tasks), emptyMap()))

    fun arrive(
        instance: Int,
        request: Long,
        content: String,
    ) = tell(instance, arrival(request).copy(content = content))

    fun runUntil(milliseconds: Long) {
        while (nowMilliseconds < milliseconds) step()
    }

    private fun step() {
        nowMilliseconds += STEP_MILLISECONDS
        crashes[nowMilliseconds]?.let { share ->
            servers.values
                .filter { it.entry.pool == "engines" }
                .shuffled(random)
                .take((SERVERS * share).toInt())
                .forEach(::crash)
        }
        val back = servers.values.filter { it.isDown && nowMilliseconds >= it.backMilliseconds }
        back.forEach { it.restart(nowMilliseconds) }
        if (back.isNotEmpty()) publishServers()
        streams.toList().forEach(::advance)
        if (nowMilliseconds % TICK_MILLISECONDS == 0L) {
            instances.indices.forEach { tell(it, TrafficEvent.Tick) }
        }
        if (nowMilliseconds % EXCHANGE_MILLISECONDS == 0L) {
            instances.indices.forEach { reader ->
                tell(reader, TrafficEvent.CrashRecordsRead(announced.filterKeys { it != reader }.values.flatten()))
            }
        }
    }

    private fun advance(stream: ModelStream) {
        if (stream !in streams || nowMilliseconds < stream.nextMilliseconds) return
        val send = stream.request
        when {
            servers.getValue(stream.server).isDown -> {
                refuse(stream)
            }

            !stream.hasBegun -> {
                beginWork(stream)
            }

            send != null -> {
                streams.remove(stream)
                tell(stream.instance, response(send))
            }

            else -> {
                deliver(stream)
            }
        }
    }

    private fun beginWork(stream: ModelStream) {
        stream.hasBegun = true
        stream.nextMilliseconds = nowMilliseconds + WORK_MILLISECONDS
        sends += ModelSend(stream.subject, nowMilliseconds, stream.server)
        stream.request?.let { replies.getOrPut(it.request) { ModelReply() }.hasRun = true }
        val isUnlucky = sends.count { it.subject == stream.subject } <= (unlucky[stream.subject] ?: 0)
        if (stream.subject in poison || isUnlucky) crash(servers.getValue(stream.server))
    }

    private fun deliver(stream: ModelStream) {
        val run = stream.run ?: return
        stream.lastEvent++
        stream.nextMilliseconds = nowMilliseconds + WORK_MILLISECONDS
        val event = TaskEvent(stream.lastEvent, "e", null)
        tell(stream.instance, TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(event)))
        if (stream.lastEvent < EVENTS || !streams.remove(stream)) return
        tell(stream.instance, TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
    }

    private fun refuse(stream: ModelStream) {
        streams.remove(stream)
        fail(stream, isSent = false)
    }

    private fun crash(server: ModelServer) {
        if (server.isDown) return
        server.isDown = true
        server.backMilliseconds = nowMilliseconds + DOWN_MILLISECONDS
        val lost = streams.filter { it.server == server.entry.id }
        streams.removeAll(lost.toSet())
        lost.forEach { fail(it, isSent = true) }
    }

    private fun fail(
        stream: ModelStream,
        isSent: Boolean,
    ) {
        val run = stream.run
        val send = stream.request
        if (run != null) {
            val failure = TrafficEvent.TaskAttemptFailed(run.job, run.task.id, run.attempt, isSent, "lost", isSent)
            tell(stream.instance, failure)
        } else if (send != null) {
            tell(stream.instance, TrafficEvent.AttemptFailed(send.request, send.attempt, isSent, "lost", isSent))
        }
    }

    private fun tell(
        instance: Int,
        event: TrafficEvent,
    ) {
        val fixture = instances[instance]
        fixture.nowMilliseconds = nowMilliseconds
        fixture.decide(event).forEach { perform(instance, it) }
    }

    private fun perform(
        instance: Int,
        effect: TrafficEffect,
    ) {
        when (effect) {
            is TrafficEffect.Send -> {
                begin(instance, effect)
            }

            is TrafficEffect.RunTask -> {
                streams += ModelStream(instance, effect.server, effect.task.id, nextMilliseconds(), run = effect)
                    .apply { lastEvent = effect.lastEvent }
            }

            is TrafficEffect.CancelTask -> {
                streams.removeIf { it.run?.task?.id == effect.task }
            }

            is TrafficEffect.Cancel -> {
                streams.removeIf { it.request?.request == effect.request }
            }

            is TrafficEffect.Reject -> {
                replies.getOrPut(effect.request) { ModelReply() }.status = effect.status
            }

            is TrafficEffect.ForwardResponse -> {
                replies.getOrPut(effect.request) { ModelReply() }.status = 200
            }

            is TrafficEffect.WriteResults -> {
                listed += effect.batch.results.map { it.id }
                tell(instance, TrafficEvent.ResultsWritten(effect.batch, effect.batch.version + 1))
            }

            is TrafficEffect.AnnounceSuspects -> {
                announced[instance] = effect.suspects.map { (content, suspect) ->
                    CrashRecord(content, suspect.crashes, suspect.lastMilliseconds)
                }
            }

            else -> {
                return
            }
        }
    }

    private fun begin(
        instance: Int,
        send: TrafficEffect.Send,
    ) {
        val subject = send.scoring?.id ?: instances[instance]
            .state.requests
            .getValue(send.request)
            .content
        streams += ModelStream(instance, send.server, subject, nextMilliseconds(), request = send)
    }

    private fun nextMilliseconds() = nowMilliseconds + STEP_MILLISECONDS

    private fun publishServers() =
        instances.indices.forEach {
            tell(
                it,
                TrafficEvent.BackendsChanged(
                    servers.values.map { server ->
                        server.entry
                    },
                ),
            )
        }

    companion object {
        const val INSTANCES = 6
        private const val SERVERS = 6
        private const val STEP_MILLISECONDS = 10L
        private const val TICK_MILLISECONDS = 50L

        /** Time until an instance reads what another one announces. */
        private const val EXCHANGE_MILLISECONDS = 1_000L
        private const val DOWN_MILLISECONDS = 400L

        /** Time of a plain request, and time between two events of a task. */
        private const val WORK_MILLISECONDS = 30L

        /** Events of each task. */
        private const val EVENTS = 24L
    }
}

/** A send that a server began to run. */
internal data class ModelSend(
    val subject: String,
    val milliseconds: Long,
    val server: String,
)

/** What a client got, and whether a server has begun to run its request. */
internal class ModelReply {
    var status = 0
    var hasRun = false
}

private class ModelServer(
    var entry: BackendServerEntry,
) {
    var isDown = false
    var backMilliseconds = 0L

    fun restart(nowMilliseconds: Long) {
        isDown = false
        entry = entry.copy(startedWallMilliseconds = nowMilliseconds)
    }
}

private class ModelStream(
    val instance: Int,
    val server: String,
    val subject: String,
    var nextMilliseconds: Long,
    val request: TrafficEffect.Send? = null,
    val run: TrafficEffect.RunTask? = null,
) {
    var hasBegun = false
    var lastEvent = 0L
}
