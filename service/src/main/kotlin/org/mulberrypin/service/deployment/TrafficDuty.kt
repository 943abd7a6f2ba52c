package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.traffic.ReplyStatus
import org.mulberrypin.decisions.traffic.TaskPhase
import org.mulberrypin.decisions.traffic.TrafficEffect
import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.decisions.traffic.TrafficState
import org.mulberrypin.decisions.traffic.decideTraffic
import org.mulberrypin.platform.deployment.BackendAnswer
import org.mulberrypin.platform.deployment.BackendCalls
import org.mulberrypin.platform.deployment.BackendRequest
import org.mulberrypin.platform.deployment.CallTarget
import org.mulberrypin.platform.deployment.CallerCall
import org.mulberrypin.platform.deployment.CallerReply
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.decodeBody
import org.mulberrypin.platform.deployment.decodeSubmission
import org.mulberrypin.platform.deployment.lengthHintOf
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.Duty
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.ScoringCall
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** What the traffic duty needs from outside. */
internal data class TrafficPorts(
    val store: RowStore,
    val backends: BackendCalls,
    val countUsage: (team: String) -> Unit,
    val clock: ServiceClock,
    val log: DecisionLog,
    val counters: TrafficCounters,
)

/** Carries requests of callers and runs batch jobs. All functions but [submit] and [tell] run on the duty's thread. */
internal class TrafficDuty(
    private val identity: InstanceIdentity,
    private val ports: TrafficPorts,
) {
    private val ring: BoundedRing<TrafficSignal> = boundedRing("traffic", RING_CAPACITY)
    private val numbers = AtomicLong()
    private val openCalls = AtomicInteger()
    private val runningTasks = AtomicInteger()
    private var state = TrafficState(identity)
    private val calls = HashMap<Long, CallerCall>()
    private val arrivals = HashMap<Long, Long>()
    private val answers = HashMap<Long, BackendAnswer>()
    private val cancelRequest = HashMap<Long, () -> Unit>()
    private val cancelTask = HashMap<Pair<String, String>, () -> Unit>()
    private val jobStore = JobStore(ports.store, ports.log)
    private val jobShell = JobShell(jobStore, ports.store, identity, ports.log, ::tell)
    private val jobCalls = JobCalls(jobStore, ports, { state }, ::offer, ::reply)
    private var duty: Duty? = null

    /** Calls and tasks that are under way, as last seen by the duty. */
    val underWay: Int
        get() = openCalls.get() + runningTasks.get()

    /** Signals that wait for the duty. */
    val depth: Int
        get() = ring.depth

    fun start(): TrafficDuty {
        duty = startDuty("traffic", ring, ports.clock, TICK_MILLISECONDS, ::handle, ::tick)
        return this
    }

    fun stop() {
        duty?.stop(STOP_MILLISECONDS)
    }

    /** Takes a call from the front end and answers the number under which it is known. */
    fun submit(call: CallerCall): Long {
        val number = numbers.incrementAndGet()
        if (!ring.offer(TrafficSignal.Called(number, call))) {
            ports.log.write(PART, call.id, "refused ${ReplyStatus.UNAVAILABLE}", identity.name, "the ring is full")
            call.reply(CallerReply.Own(ReplyStatus.UNAVAILABLE, "overloaded", RETRY_MILLISECONDS))
        }
        return number
    }

    /** Hands an event to the decision. */
    fun tell(event: TrafficEvent) = offer(TrafficSignal.Told(event))

    private fun offer(signal: TrafficSignal) {
        val isTaken = ring.offer(signal)
        if (!isTaken) ports.log.write(PART, "ring", "signal dropped", identity.name, signal.javaClass.simpleName)
    }

    private fun handle(signal: TrafficSignal) {
        when (signal) {
            is TrafficSignal.Told -> decide(signal.event)
            is TrafficSignal.Called -> accept(signal.number, signal.call)
            is TrafficSignal.ServerAnswered -> acceptAnswer(signal)
            is TrafficSignal.JobFound -> jobCalls.acceptJob(signal, calls[signal.number])
            is TrafficSignal.ResultsRead -> jobCalls.acceptResults(signal, calls[signal.number])
            is TrafficSignal.SubmissionRead -> jobCalls.acceptSubmission(signal, calls[signal.number])
            is TrafficSignal.EndWritten -> acceptEnd(signal)
            is TrafficSignal.SubmissionRefused -> refuseSubmission(signal)
        }
    }

    private fun tick() {
        decide(TrafficEvent.Ticked)
        jobCalls.continueWaiting(calls)
        forgetEnded()
        openCalls.set(calls.size)
        runningTasks.set(cancelTask.size)
        ports.counters.jobs.set(state.jobs.size)
        ports.counters.tasks.set(cancelTask.size)
    }

    /** Drops what is kept of requests and streams that have ended. */
    private fun forgetEnded() {
        cancelRequest.keys.removeIf { state.requests[it]?.server == null }
        cancelTask.keys.removeIf { (job, task) ->
            val progress = state.jobs[job]?.tasks?.get(task)
            progress?.phase != TaskPhase.RUNNING
        }
    }

    private fun accept(
        number: Long,
        call: CallerCall,
    ) {
        calls[number] = call
        arrivals[number] = ports.clock.readMilliseconds()
        if (call.target is CallTarget.Routed) {
            ports.counters.requests.increment()
            val event = TrafficEvent.RequestArrived(
                number,
                call.id,
                call.host,
                call.path,
                call.key,
                call.deadlineMilliseconds,
            )
            decide(event)
        } else {
            jobCalls.begin(number, call)
        }
    }

    private fun acceptAnswer(signal: TrafficSignal.ServerAnswered) {
        val answer = signal.answer
        answers[signal.request] = answer
        decide(
            TrafficEvent.Answered(
                request = signal.request,
                attempt = signal.attempt,
                status = answer.status,
                notRun = answer.notRun,
                signed = answer.signature != null,
                signature = answer.signature.orEmpty(),
                load = answer.load?.let { it.running + it.waiting },
            ),
        )
        answers.remove(signal.request)
    }

    private fun acceptEnd(signal: TrafficSignal.EndWritten) {
        val row = jobCalls.acceptEnd(signal, calls[signal.number]) ?: return
        decide(TrafficEvent.JobRowsSeen(listOf(row)))
    }

    private fun decide(event: TrafficEvent) {
        val now = ports.clock.readMilliseconds()
        val transition = decideTraffic(state, event, now, ports.clock.readWallMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
        if (event is TrafficEvent.CallerLeft) {
            calls.remove(event.request)
            arrivals.remove(event.request)
        }
    }

    private fun perform(effect: TrafficEffect) {
        when (effect) {
            is TrafficEffect.Send -> {
                send(effect)
            }

            is TrafficEffect.Cancel -> {
                cancelRequest.remove(effect.request)?.invoke()
            }

            is TrafficEffect.Relay -> {
                answers[effect.request]?.let { reply(effect.request, CallerReply.Relayed(it)) }
            }

            is TrafficEffect.Refuse -> {
                refuse(effect)
            }

            is TrafficEffect.CountUsage -> {
                ports.countUsage(effect.team)
            }

            is TrafficEffect.Explain -> {
                ports.log.write(PART, effect.subject, effect.decision, effect.peer, effect.inputs)
            }

            is TrafficEffect.JobEffect -> {
                performJob(effect)
            }
        }
    }

    private fun performJob(effect: TrafficEffect.JobEffect) {
        when (effect) {
            is TrafficEffect.ReadSubmission -> readSubmission(effect)
            is TrafficEffect.StoreJob -> storeJob(effect)
            is TrafficEffect.AcceptJob -> reply(effect.request, CallerReply.Own(ReplyStatus.ACCEPTED, "accepted"))
            is TrafficEffect.TakeOverJob -> jobShell.takeOver(effect.record, effect.version)
            is TrafficEffect.ReloadJob -> jobShell.reload(effect.record)
            is TrafficEffect.ReleaseJob -> jobShell.release(effect)
            is TrafficEffect.WriteResults -> jobShell.writeResults(effect.batch)
            is TrafficEffect.SaveProgress -> jobShell.saveProgress(effect.batch)
            is TrafficEffect.RunTask -> runTask(effect)
            is TrafficEffect.CancelTask -> cancelTask.remove(effect.job to effect.task)?.invoke()
        }
    }

    private fun refuse(effect: TrafficEffect.Refuse) {
        val retry = RETRY_MILLISECONDS.takeIf { effect.status == ReplyStatus.UNAVAILABLE }
        reply(effect.request, CallerReply.Own(effect.status, effect.reason, retry))
    }

    private fun reply(
        number: Long,
        reply: CallerReply,
    ) {
        val call = calls.remove(number) ?: return
        recordLatency(number, call)
        if (reply is CallerReply.Own && reply.status >= ReplyStatus.BAD_REQUEST) ports.counters.refused.increment()
        call.reply(reply)
    }

    private fun recordLatency(
        number: Long,
        call: CallerCall,
    ) {
        val arrived = arrivals.remove(number) ?: return
        val latency = Duration.ofMillis(ports.clock.readMilliseconds() - arrived)
        val timer = if (call.target is CallTarget.Routed) ports.counters.requestLatency else ports.counters.readLatency
        timer.record(latency)
    }

    private fun send(effect: TrafficEffect.Send) {
        val call = calls[effect.request]
        val scoring = effect.scoring
        val request = when {
            call != null -> forwarded(effect, call)
            scoring != null -> scoringRequest(effect, scoring)
            else -> return
        }
        ports.counters.attempts.increment()
        cancelRequest[effect.request] = ports.backends.forward(request) { outcome ->
            offer(
                when (outcome) {
                    is Outcome.Success -> {
                        TrafficSignal.ServerAnswered(effect.request, effect.attempt, outcome.value)
                    }

                    is Outcome.Failure -> {
                        val sent = outcome.fault.kind != FaultKind.NOT_RUN
                        val broke = TrafficEvent.Broke(effect.request, effect.attempt, sent, outcome.fault.toString())
                        TrafficSignal.Told(broke)
                    }
                },
            )
        }
    }

    private fun readSubmission(effect: TrafficEffect.ReadSubmission) {
        val call = calls[effect.request] ?: return
        val submission = decodeSubmission(String(call.body))
        if (submission == null || effect.id.isEmpty() || call.method != "POST") {
            val expected = "expected a POST of a job with an identifier and items, their bodies in base64"
            ports.log.write(PART, effect.id, "job refused ${ReplyStatus.BAD_REQUEST}", identity.name, expected)
            reply(effect.request, CallerReply.Own(ReplyStatus.BAD_REQUEST, expected))
            return
        }
        val record = JobRecord(
            id = effect.id,
            team = effect.team.orEmpty(),
            host = call.host,
            path = call.path,
            model = submission.model,
            total = submission.tasks.size,
            submittedWallMilliseconds = ports.clock.readWallMilliseconds(),
        )
        decide(TrafficEvent.JobSubmitted(effect.request, record, submission, lengthHints(submission)))
    }

    private fun storeJob(effect: TrafficEffect.StoreJob) {
        val body = calls[effect.request]?.body ?: return
        jobShell.store(effect, body) { status, reason ->
            offer(TrafficSignal.SubmissionRefused(effect.request, effect.record.id, status, reason))
        }
    }

    private fun refuseSubmission(signal: TrafficSignal.SubmissionRefused) {
        ports.log.write(PART, signal.job, "job refused ${signal.status}", "store", signal.reason)
        refuse(TrafficEffect.Refuse(signal.number, signal.status, signal.reason))
    }

    private fun runTask(effect: TrafficEffect.RunTask) {
        val request = BackendRequest(
            address = effect.address,
            serverId = effect.server,
            id = effect.task.id,
            method = "POST",
            host = effect.host,
            path = effect.task.path,
            headers = effect.task.headers,
            body = decodeBody(effect.task.body),
            team = effect.team.ifEmpty { null },
            remainingMilliseconds = 0,
            lastEvent = effect.lastEvent,
        )
        ports.counters.attempts.increment()
        val listener = taskListener(effect.job, effect.task.id, effect.attempt, ::tell)
        cancelTask[effect.job to effect.task.id] = ports.backends.stream(request, listener)
    }

    private companion object {
        private const val PART = "traffic"

        /** Signals that wait at most; a second of events under the largest load of one instance. */
        private const val RING_CAPACITY = 16_384

        /** Time between two looks at deadlines and waiting work, in milliseconds. */
        private const val TICK_MILLISECONDS = 50L
        private const val STOP_MILLISECONDS = 500L

        /** Time after which a refused caller may come back, in milliseconds. */
        private const val RETRY_MILLISECONDS = 100L
    }
}

internal fun lengthHints(submission: JobSubmission): Map<String, Long> =
    submission.tasks.associate { it.id to lengthHintOf(it) }

private fun forwarded(
    effect: TrafficEffect.Send,
    call: CallerCall,
): BackendRequest =
    BackendRequest(
        address = effect.address,
        serverId = effect.server,
        id = call.id,
        method = call.method,
        host = call.host,
        path = call.path,
        headers = call.headers,
        body = call.body,
        team = effect.team,
        remainingMilliseconds = effect.remainingMilliseconds,
    )

private fun scoringRequest(
    effect: TrafficEffect.Send,
    scoring: ScoringCall,
): BackendRequest =
    BackendRequest(
        address = effect.address,
        serverId = effect.server,
        id = scoring.id,
        method = "POST",
        host = scoring.host,
        path = scoring.path,
        headers = emptyList(),
        body = decodeBody(scoring.body),
        team = null,
        remainingMilliseconds = effect.remainingMilliseconds,
    )
