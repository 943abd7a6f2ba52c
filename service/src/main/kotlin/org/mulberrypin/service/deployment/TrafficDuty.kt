package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.cold.ColdLimits
import org.mulberrypin.decisions.cold.ColdServers
import org.mulberrypin.decisions.traffic.HttpStatusCode
import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.traffic.TaskPhase
import org.mulberrypin.decisions.traffic.TrafficEffect
import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.decisions.traffic.TrafficState
import org.mulberrypin.decisions.traffic.decideTraffic
import org.mulberrypin.platform.deployment.BackendCalls
import org.mulberrypin.platform.deployment.BackendResponse
import org.mulberrypin.platform.deployment.CallReply
import org.mulberrypin.platform.deployment.CallTarget
import org.mulberrypin.platform.deployment.IncomingCall
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.decodeSubmission
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.Duty
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.CrashRecord
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.ModelDemand
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Dependencies of the traffic duty.
 *
 * @property announceCrashes replaces the crash records that the other instances read
 * @property stateDemand replaces the work of this instance's jobs that the other instances read
 */
internal data class TrafficPorts(
    val store: RowStore,
    val backends: BackendCalls,
    val countUsage: (team: String) -> Unit,
    val clock: ServiceClock,
    val log: DecisionLog,
    val counters: TrafficCounters,
    val announceCrashes: (List<CrashRecord>) -> Unit,
    val stateDemand: (List<ModelDemand>) -> Unit,
)

/**
 * Forwards callers' requests and runs batch jobs. Only [submit] and [enqueue] may be called from other threads.
 *
 * @param coldLimits how far the requests to a cold backend server may exceed what its pool states
 */
internal class TrafficDuty(
    private val identity: InstanceIdentity,
    private val ports: TrafficPorts,
    coldLimits: ColdLimits = ColdLimits(),
) {
    private val ring: BoundedRing<TrafficSignal> = boundedRing("traffic", RING_CAPACITY)
    private val callCounter = AtomicLong()
    private val openCalls = AtomicInteger()
    private val runningTasks = AtomicInteger()
    private var state = TrafficState(identity, coldServers = ColdServers(coldLimits))
    private val calls = HashMap<Long, IncomingCall>()
    private val arrivalMilliseconds = HashMap<Long, Long>()
    private val responses = HashMap<Long, BackendResponse>()
    private val requestCancellers = HashMap<Long, () -> Unit>()
    private val taskCancellers = HashMap<Pair<String, String>, () -> Unit>()
    private val jobStore = JobStore(ports.store, ports.log)
    private val jobEffects = JobEffectHandler(jobStore, ports.store, identity, ports.log, ::enqueue)
    private val jobCalls = JobCalls(jobStore, ports, { state }, ::offer, ::reply)
    private val coldShares = ColdShareClaims(identity.name, ports.store, ports.log) { claim, outcome ->
        enqueue(TrafficEvent.ColdShareAnswered(claim.server, claim.startedWallMilliseconds, outcome))
    }
    private var thread: Duty? = null

    /** Number of calls and tasks in flight, as of the last tick. */
    val inFlightCount: Int
        get() = openCalls.get() + runningTasks.get()

    /** Whether this instance runs batch jobs, as of the last tick. */
    val runsJobs: Boolean
        get() = ports.counters.jobs.get() > 0

    /** Number of signals queued for the duty. */
    val depth: Int
        get() = ring.depth

    fun start(): TrafficDuty {
        thread = startDuty("traffic", ring, ports.clock, ::tickMilliseconds, ::handle, ::tick)
        return this
    }

    fun stop() {
        thread?.stop(STOP_TIMEOUT_MILLISECONDS)
    }

    /** Time since the last tick of the duty, in milliseconds; 0 before its start. */
    fun millisecondsSinceTick(): Long = thread?.millisecondsSinceTick() ?: 0

    /** Queues a call from the front end and returns its number; replies with status 503 when the ring is full. */
    fun submit(call: IncomingCall): Long {
        val callNumber = callCounter.incrementAndGet()
        if (!ring.offer(TrafficSignal.Called(callNumber, call))) {
            ports.log.write(SOURCE, call.id, "refused ${HttpStatusCode.UNAVAILABLE}", identity.name, "the ring is full")
            call.reply(CallReply.Local(HttpStatusCode.UNAVAILABLE, "overloaded", RETRY_AFTER_MILLISECONDS))
        }
        return callNumber
    }

    /** Queues an event for the traffic decision. */
    fun enqueue(event: TrafficEvent) = offer(TrafficSignal.Told(event))

    private fun offer(signal: TrafficSignal) {
        val isQueued = ring.offer(signal)
        if (!isQueued) ports.log.write(SOURCE, "ring", "signal dropped", identity.name, signal.javaClass.simpleName)
    }

    private fun handle(signal: TrafficSignal) {
        when (signal) {
            is TrafficSignal.Told -> decide(signal.event)
            is TrafficSignal.Called -> handleCall(signal.callNumber, signal.call)
            is TrafficSignal.ServerAnswered -> handleServerAnswered(signal)
            is TrafficSignal.JobFound -> jobCalls.handleJobFound(signal, calls[signal.callNumber])
            is TrafficSignal.ResultsRead -> jobCalls.handleResultsRead(signal, calls[signal.callNumber])
            is TrafficSignal.SubmissionRead -> jobCalls.handleSubmissionRead(signal, calls[signal.callNumber])
            is TrafficSignal.EndWritten -> handleEndWritten(signal)
            is TrafficSignal.SubmissionRefused -> refuseSubmission(signal)
        }
    }

    private fun tick() {
        decide(TrafficEvent.Tick)
        jobCalls.pollPendingReads(calls)
        removeFinished()
        openCalls.set(calls.size)
        runningTasks.set(taskCancellers.size)
        ports.counters.show(state, taskCancellers.size)
    }

    private fun tickMilliseconds(): Long {
        val isIdle = calls.isEmpty() && state.requests.isEmpty() && state.jobs.isEmpty()
        return if (isIdle) IDLE_TICK_INTERVAL_MILLISECONDS else TICK_INTERVAL_MILLISECONDS
    }

    /** Removes the cancellation handles of finished requests and streams. */
    private fun removeFinished() {
        requestCancellers.keys.removeIf { state.requests[it]?.server == null }
        taskCancellers.keys.removeIf { (job, task) ->
            val progress = state.jobs[job]?.tasks?.get(task)
            progress?.phase != TaskPhase.RUNNING
        }
    }

    private fun handleCall(
        callNumber: Long,
        call: IncomingCall,
    ) {
        calls[callNumber] = call
        arrivalMilliseconds[callNumber] = ports.clock.readMilliseconds()
        if (call.target is CallTarget.Routed) {
            ports.counters.requests.increment()
            val event = TrafficEvent.RequestArrived(
                callNumber,
                call.id,
                call.host,
                call.path,
                call.key,
                call.deadlineMilliseconds,
                contentDigest(call),
            )
            decide(event)
        } else {
            jobCalls.startCall(callNumber, call)
        }
    }

    private fun handleServerAnswered(signal: TrafficSignal.ServerAnswered) {
        val response = signal.response
        responses[signal.request] = response
        decide(
            TrafficEvent.ResponseReceived(
                request = signal.request,
                attempt = signal.attempt,
                status = response.status,
                notRun = response.notRun,
                signed = !response.signature.isNullOrBlank(),
                signature = response.signature.orEmpty(),
                load = response.load?.let(::loadReport),
                connection = response.connection,
            ),
        )
        responses.remove(signal.request)
    }

    private fun handleEndWritten(signal: TrafficSignal.EndWritten) {
        val row = jobCalls.handleEndWritten(signal, calls[signal.callNumber]) ?: return
        decide(TrafficEvent.JobRowsRead(listOf(row)))
    }

    private fun decide(event: TrafficEvent) {
        val now = ports.clock.readMilliseconds()
        val transition = decideTraffic(state, event, now, ports.clock.readWallMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
        if (event is TrafficEvent.CallerDisconnected) {
            calls.remove(event.request)
            arrivalMilliseconds.remove(event.request)
        }
    }

    private fun perform(effect: TrafficEffect) {
        when (effect) {
            is TrafficEffect.Send -> {
                send(effect)
            }

            is TrafficEffect.Cancel -> {
                requestCancellers.remove(effect.request)?.invoke()
            }

            is TrafficEffect.ForwardResponse -> {
                responses[effect.request]?.let { reply(effect.request, CallReply.Relayed(it)) }
            }

            is TrafficEffect.Reject -> {
                reject(effect)
            }

            is TrafficEffect.CountUsage -> {
                ports.countUsage(effect.team)
            }

            is TrafficEffect.ClaimColdShare -> {
                ports.counters.coldClaims.increment()
                coldShares.claim(effect)
            }

            is TrafficEffect.AnnounceSuspects -> {
                ports.announceCrashes(crashRecords(effect, ports.clock))
            }

            is TrafficEffect.CountLoadDecision -> {
                val counter = ports.counters.loadDecisions.getValue(effect.decision)
                counter.increment()
            }

            is TrafficEffect.StateDemand -> {
                ports.stateDemand(effect.demands)
            }

            is TrafficEffect.RecordDecision -> {
                ports.log.write(SOURCE, effect.subject, effect.decision, effect.peer, effect.inputs)
            }

            is TrafficEffect.MeasureForecast -> {
                ports.counters.forecasts
                    .getValue(effect.kind)
                    .count(effect)
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
            is TrafficEffect.AcceptJob -> reply(effect.request, CallReply.Local(HttpStatusCode.ACCEPTED, "accepted"))
            is TrafficEffect.TakeOverJob -> jobEffects.takeOver(effect.record, effect.version)
            is TrafficEffect.ReloadJob -> jobEffects.reload(effect.record)
            is TrafficEffect.ReleaseJob -> jobEffects.release(effect)
            is TrafficEffect.WriteResults -> jobEffects.writeResults(effect.batch)
            is TrafficEffect.SaveProgress -> jobEffects.saveProgress(effect.batch)
            is TrafficEffect.RunTask -> runTask(effect)
            is TrafficEffect.CancelTask -> taskCancellers.remove(effect.job to effect.task)?.invoke()
        }
    }

    private fun reject(effect: TrafficEffect.Reject) {
        val delay = effect.retryMilliseconds ?: RETRY_AFTER_MILLISECONDS
        val retryMilliseconds = delay.takeIf { effect.status == HttpStatusCode.UNAVAILABLE }
        reply(effect.request, CallReply.Local(effect.status, effect.reason, retryMilliseconds))
    }

    private fun reply(
        callNumber: Long,
        reply: CallReply,
    ) {
        val call = calls.remove(callNumber) ?: return
        recordLatency(callNumber, call)
        if (reply is CallReply.Local && reply.status >= HttpStatusCode.BAD_REQUEST) ports.counters.refused.increment()
        call.reply(reply)
    }

    private fun recordLatency(
        callNumber: Long,
        call: IncomingCall,
    ) {
        val arrived = arrivalMilliseconds.remove(callNumber) ?: return
        val latency = Duration.ofMillis(ports.clock.readMilliseconds() - arrived)
        val timer =
            if (call.target is CallTarget.Routed) ports.counters.requestLatency else ports.counters.jobCallLatency
        timer.record(latency)
    }

    private fun send(effect: TrafficEffect.Send) {
        val call = calls[effect.request]
        val scoring = effect.scoring
        val request = when {
            call != null -> forwardedRequest(effect, call)
            scoring != null -> scoringRequest(effect, scoring)
            else -> return
        }
        ports.counters.attempts.increment()
        requestCancellers[effect.request] = ports.backends.forward(request) { outcome ->
            offer(
                when (outcome) {
                    is Outcome.Success -> {
                        TrafficSignal.ServerAnswered(effect.request, effect.attempt, outcome.value)
                    }

                    is Outcome.Failure -> {
                        val failed = TrafficEvent.AttemptFailed(
                            effect.request,
                            effect.attempt,
                            sent = outcome.fault.kind != FaultKind.NOT_RUN,
                            detail = outcome.fault.toString(),
                            connectionLost = outcome.fault.kind == FaultKind.CONNECTION_LOST,
                        )
                        TrafficSignal.Told(failed)
                    }
                },
            )
        }
    }

    private fun readSubmission(effect: TrafficEffect.ReadSubmission) {
        val call = calls[effect.request] ?: return
        val submission = decodeSubmission(call.body)
        if (submission == null || effect.id.isEmpty() || call.method != "POST") {
            val expected = "expected a POST of a job with an identifier and items, their bodies in base64"
            ports.log.write(SOURCE, effect.id, "job refused ${HttpStatusCode.BAD_REQUEST}", identity.name, expected)
            reply(effect.request, CallReply.Local(HttpStatusCode.BAD_REQUEST, expected))
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
        jobEffects.storeJob(effect, body) { status, reason ->
            offer(TrafficSignal.SubmissionRefused(effect.request, effect.record.id, status, reason))
        }
    }

    private fun refuseSubmission(signal: TrafficSignal.SubmissionRefused) {
        ports.log.write(SOURCE, signal.job, "job refused ${signal.status}", "store", signal.reason)
        reject(TrafficEffect.Reject(signal.callNumber, signal.status, signal.reason))
    }

    private fun runTask(effect: TrafficEffect.RunTask) {
        val request = taskRequest(effect)
        ports.counters.attempts.increment()
        val listener = taskListener(effect.job, effect.task.id, effect.attempt, ::enqueue)
        taskCancellers[effect.job to effect.task.id] = ports.backends.stream(request, listener)
    }

    private companion object {
        private const val SOURCE = "traffic"

        /** Capacity of the queue in signals; about one second of events at the peak load of one instance. */
        private const val RING_CAPACITY = 16_384

        /** Interval between checks of deadlines and queued work, in milliseconds. */
        private const val TICK_INTERVAL_MILLISECONDS = 50L

        /** Interval between these checks while there is no work, in milliseconds. */
        private const val IDLE_TICK_INTERVAL_MILLISECONDS = 250L
        private const val STOP_TIMEOUT_MILLISECONDS = 500L

        /** Retry delay given to a rejected caller, in milliseconds. */
        private const val RETRY_AFTER_MILLISECONDS = 100L
    }
}
