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

internal const val SIMULATED_JOB = "job-1"
internal const val SIMULATED_TASKS = 14
internal const val EVENTS_PER_TASK = 40L

/** The runs of all engines; each run is recorded with the last event after which it was asked to resume. */
internal class EngineRuns {
    private val resumePoints = ArrayList<Long>()

    fun startRun(lastEvent: Long): Int {
        resumePoints.add(lastEvent)
        return resumePoints.lastIndex
    }

    /**
     * Returns the events of [text] that belong to another task, are out of sequence, or neither continue the run of the
     * previous event nor start a run at its resume point.
     */
    fun findMisplacedEvents(
        task: String,
        text: String,
    ): List<String> {
        var before = -1
        return text.split("\n").filterIndexed { index, event ->
            val (owner, run, number) = event.split(":")
            val isNext = run.toInt() == before || resumePoints[run.toInt()] == index.toLong()
            before = run.toInt()
            owner != task || number.toInt() != index + 1 || !isNext
        }
    }
}

/** An open stream of a task with the last event sent; [number] is the number of the engine's run. */
internal data class OpenStream(
    val run: TrafficEffect.RunTask,
    val number: Int,
    val lastEvent: Long,
    val started: Boolean = false,
)

/** The job-related part of an instance: the traffic decision and the handler of its store effects. */
internal class SimulatedInstance(
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
    private lateinit var jobEffects: JobEffectHandler

    val live: LiveInstance
        get() = LiveInstance(name, incarnation)

    init {
        start()
    }

    /** Restarts with a new incarnation; responses to calls of earlier incarnations are discarded. */
    fun start() {
        incarnation++
        draining = false
        streams.clear()
        scorings.clear()
        val identity = InstanceIdentity(name, incarnation, "zone-a")
        val started = incarnation
        state = TrafficState(identity)
        jobEffects = JobEffectHandler(JobStore(store.store, log), store.store, identity, log) { event ->
            if (incarnation == started) handle(event)
        }
        handle(TrafficEvent.ConfigurationChanged(configuration))
        handle(TrafficEvent.BackendsChanged(servers))
    }

    fun handle(event: TrafficEvent) {
        val now = clock.clock.readMilliseconds()
        val transition = decideTraffic(state, event, now, clock.clock.readWallMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
    }

    fun submit() {
        val submission = checkNotNull(decodeSubmission(submissionText(SIMULATED_TASKS, 1)))
        val record = JobRecord(SIMULATED_JOB, "team-1", ROUTE_HOST, "/sort/", submission.model, SIMULATED_TASKS)
        handle(TrafficEvent.JobSubmitted(1, record, submission, emptyMap()))
    }

    /** Delivers the current job rows of the store. */
    fun deliverJobRows() {
        val rows = store.rowsOf(StoreTables.JOBS)
        handle(TrafficEvent.JobRowsRead(rows.map { JobRow(it.key, log.decodeJob(it), it.version) }))
    }

    fun drain() {
        draining = true
        handle(TrafficEvent.DrainStarted)
        handle(TrafficEvent.ReleaseJobs)
    }

    /** Sends the events of a stream up to [last]; the stream ends with the last event of its task. */
    fun sendEvents(
        stream: OpenStream,
        last: Long,
    ) {
        val run = stream.run
        if (!stream.started) handle(TrafficEvent.TaskResponseReceived(run.job, run.task.id, run.attempt, OK, false, 1))
        val events = (stream.lastEvent + 1..last).map { TaskEvent(it, "${run.task.id}:${stream.number}:$it", null) }
        val index = streams.indexOf(stream)
        if (index < 0) return
        streams[index] = stream.copy(lastEvent = last, started = true)
        if (events.isNotEmpty()) handle(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, events))
        if (last == EVENTS_PER_TASK && streams.remove(stream.copy(lastEvent = last, started = true))) {
            handle(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
        }
    }

    fun breakStream(stream: OpenStream) {
        streams.remove(stream)
        handle(TrafficEvent.TaskAttemptFailed(stream.run.job, stream.run.task.id, stream.run.attempt, true, "scripted"))
    }

    fun refuse(stream: OpenStream) {
        streams.remove(stream)
        handle(
            TrafficEvent.TaskResponseReceived(
                stream.run.job,
                stream.run.task.id,
                stream.run.attempt,
                UNAVAILABLE,
                true,
                null,
            ),
        )
    }

    fun completeScoring(send: TrafficEffect.Send) {
        scorings.remove(send)
        val signature = "signature-${send.scoring?.id}"
        handle(
            TrafficEvent.ResponseReceived(send.request, send.attempt, OK, false, signed = true, signature, load = null),
        )
    }

    fun breakScoring(send: TrafficEffect.Send) {
        scorings.remove(send)
        handle(TrafficEvent.AttemptFailed(send.request, send.attempt, sent = true, "scripted"))
    }

    private fun perform(effect: TrafficEffect) {
        when (effect) {
            is TrafficEffect.StoreJob -> jobEffects.storeJob(
                effect,
                submissionText(SIMULATED_TASKS, 1).toByteArray(),
            ) { _, _ -> }

            is TrafficEffect.AcceptJob -> accepted = true

            is TrafficEffect.TakeOverJob -> jobEffects.takeOver(effect.record, effect.version)

            is TrafficEffect.ReloadJob -> jobEffects.reload(effect.record)

            is TrafficEffect.ReleaseJob -> jobEffects.release(effect)

            is TrafficEffect.WriteResults -> jobEffects.writeResults(effect.batch)

            is TrafficEffect.SaveProgress -> jobEffects.saveProgress(effect.batch)

            is TrafficEffect.RunTask -> streams.add(
                OpenStream(effect, runs.startRun(effect.lastEvent), effect.lastEvent),
            )

            is TrafficEffect.CancelTask -> streams.removeIf { it.run.task.id == effect.task }

            is TrafficEffect.Send -> scorings.add(effect)

            is TrafficEffect.Cancel -> scorings.removeIf { it.request == effect.request }

            else -> Unit
        }
    }

    private companion object {
        private const val OK = 200
        private const val UNAVAILABLE = 503

        /** Tasks do not expire, so that every task of an accepted job must get a result. */
        private val configuration = checkNotNull(decodeConfiguration(configurationText(1))).let { decoded ->
            decoded.copy(routes = decoded.routes.map { it.copy(taskExpiryMilliseconds = 0) })
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
