package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.traffic.JobRow
import org.mulberrypin.decisions.traffic.LiveInstance
import org.mulberrypin.decisions.traffic.TaskEvent
import org.mulberrypin.decisions.traffic.TrafficEffect
import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.decisions.traffic.TrafficState
import org.mulberrypin.decisions.traffic.decideTraffic
import org.mulberrypin.platform.deployment.decodeConfiguration
import org.mulberrypin.platform.deployment.decodeSubmission
import org.mulberrypin.runtime.ManualClock
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.ServedModel
import org.mulberrypin.standins.deployment.ROUTE_HOST
import org.mulberrypin.standins.deployment.configurationText
import org.mulberrypin.standins.deployment.submissionText

internal const val FLEET_JOB = "job-1"
internal const val FLEET_TASKS = 14
internal const val EVENTS_OF_TASK = 40L

/** The runs of all engines: for each, the last event after which it was asked to go on. */
internal class EngineRuns {
    private val askedAfter = ArrayList<Long>()

    fun begin(lastEvent: Long): Int {
        askedAfter.add(lastEvent)
        return askedAfter.lastIndex
    }

    /** Events of a text that neither follow the one before in its run nor begin a run that was asked to go on there. */
    fun misplaced(
        task: String,
        text: String,
    ): List<String> {
        var before = -1
        return text.split("\n").filterIndexed { index, event ->
            val (owner, run, number) = event.split(":")
            val isNext = run.toInt() == before || askedAfter[run.toInt()] == index.toLong()
            before = run.toInt()
            owner != task || number.toInt() != index + 1 || !isNext
        }
    }
}

/** A stream of a task that an engine has open, with the last event that it sent; [number] is the engine's run. */
internal data class OpenStream(
    val run: TrafficEffect.RunTask,
    val number: Int,
    val lastEvent: Long,
    val started: Boolean = false,
)

/** An instance as far as it runs jobs: the decision and the shell that talks to the store. */
internal class FleetMember(
    val name: String,
    private val store: ScriptedStore,
    private val runs: EngineRuns,
    private val clock: ManualClock,
    private val log: DecisionLog,
) {
    val streams = ArrayList<OpenStream>()
    val scorings = ArrayList<TrafficEffect.Send>()
    var accepted = false
    var draining = false
    private var incarnation = 0L
    private lateinit var state: TrafficState
    private lateinit var shell: JobShell

    val live: LiveInstance
        get() = LiveInstance(name, incarnation)

    init {
        start()
    }

    /** Starts anew; answers to calls of the time before no longer reach this instance. */
    fun start() {
        incarnation++
        draining = false
        streams.clear()
        scorings.clear()
        val identity = InstanceIdentity(name, incarnation, "zone-a")
        val started = incarnation
        state = TrafficState(identity)
        shell = JobShell(JobStore(store.store, log), store.store, identity, log) { event ->
            if (incarnation == started) tell(event)
        }
        tell(TrafficEvent.ConfigurationChanged(configuration))
        tell(TrafficEvent.BackendsChanged(servers))
    }

    fun tell(event: TrafficEvent) {
        val now = clock.clock.readMilliseconds()
        val transition = decideTraffic(state, event, now, clock.clock.readWallMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
    }

    fun submit() {
        val submission = checkNotNull(decodeSubmission(submissionText(FLEET_TASKS, 1)))
        val record = JobRecord(FLEET_JOB, "team-1", ROUTE_HOST, "/sort/", submission.model, FLEET_TASKS)
        tell(TrafficEvent.JobSubmitted(1, record, submission, emptyMap()))
    }

    /** Shows the rows of all jobs as they are in the store now. */
    fun seeJobs() {
        val rows = store.rowsOf(StoreTables.JOBS)
        tell(TrafficEvent.JobRowsSeen(rows.map { JobRow(it.key, log.decodeJob(it), it.version) }))
    }

    fun drain() {
        draining = true
        tell(TrafficEvent.DrainStarted)
        tell(TrafficEvent.JobsReleased)
    }

    /** Sends events of a stream up to [last]; the stream ends with its last event. */
    fun play(
        stream: OpenStream,
        last: Long,
    ) {
        val run = stream.run
        if (!stream.started) tell(TrafficEvent.TaskAnswered(run.job, run.task.id, run.attempt, OK, false, 1))
        val events = (stream.lastEvent + 1..last).map { TaskEvent(it, "${run.task.id}:${stream.number}:$it", null) }
        val index = streams.indexOf(stream)
        if (index < 0) return
        streams[index] = stream.copy(lastEvent = last, started = true)
        if (events.isNotEmpty()) tell(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, events))
        if (last == EVENTS_OF_TASK && streams.remove(stream.copy(lastEvent = last, started = true))) {
            tell(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
        }
    }

    fun breakOff(stream: OpenStream) {
        streams.remove(stream)
        tell(TrafficEvent.TaskBroke(stream.run.job, stream.run.task.id, stream.run.attempt, true, "scripted"))
    }

    fun refuse(stream: OpenStream) {
        streams.remove(stream)
        tell(TrafficEvent.TaskAnswered(stream.run.job, stream.run.task.id, stream.run.attempt, UNAVAILABLE, true, null))
    }

    fun score(send: TrafficEffect.Send) {
        scorings.remove(send)
        val signature = "signature-${send.scoring?.id}"
        tell(TrafficEvent.Answered(send.request, send.attempt, OK, false, signed = true, signature, load = null))
    }

    fun breakScoring(send: TrafficEffect.Send) {
        scorings.remove(send)
        tell(TrafficEvent.Broke(send.request, send.attempt, sent = true, "scripted"))
    }

    private fun perform(effect: TrafficEffect) {
        when (effect) {
            is TrafficEffect.StoreJob -> shell.store(effect, submissionText(FLEET_TASKS, 1).toByteArray()) { _, _ -> }
            is TrafficEffect.AcceptJob -> accepted = true
            is TrafficEffect.TakeOverJob -> shell.takeOver(effect.record, effect.version)
            is TrafficEffect.ReloadJob -> shell.reload(effect.record)
            is TrafficEffect.ReleaseJob -> shell.release(effect)
            is TrafficEffect.WriteResults -> shell.writeResults(effect.batch)
            is TrafficEffect.SaveProgress -> shell.saveProgress(effect.batch)
            is TrafficEffect.RunTask -> streams.add(OpenStream(effect, runs.begin(effect.lastEvent), effect.lastEvent))
            is TrafficEffect.CancelTask -> streams.removeIf { it.run.task.id == effect.task }
            is TrafficEffect.Send -> scorings.add(effect)
            is TrafficEffect.Cancel -> scorings.removeIf { it.request == effect.request }
            else -> Unit
        }
    }

    private companion object {
        private const val OK = 200
        private const val UNAVAILABLE = 503

        /** Without an expiry, so that every task of an accepted job is due a result. */
        private val configuration = checkNotNull(decodeConfiguration(configurationText(1))).let { whole ->
            whole.copy(routes = whole.routes.map { it.copy(taskExpiryMilliseconds = 0) })
        }
        private val models = listOf(ServedModel("sorter", 1))
        private val servers = listOf(
            BackendServerEntry(id = "plain-1", pool = "plain", address = "10.0.0.1:80", slots = 6),
            BackendServerEntry(id = "plain-2", pool = "plain", address = "10.0.0.2:80", slots = 6),
            BackendServerEntry(id = "engine-1", pool = "engines", address = "10.0.0.3:80", slots = 8, models = models),
            BackendServerEntry(id = "engine-2", pool = "engines", address = "10.0.0.4:80", slots = 8, models = models),
        )
    }
}
