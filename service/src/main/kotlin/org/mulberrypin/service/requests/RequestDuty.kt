package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpResponse
import org.mulberrypin.decisions.requests.RequestEffect
import org.mulberrypin.decisions.requests.RequestEvent
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.decisions.requests.defaultPolicies
import org.mulberrypin.decisions.requests.requestDecision
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.schema.generated.RoutePriority
import org.mulberrypin.service.EntryContext

/**
 * Handles the signals of the request duty. All functions run on the duty thread, except the backend listeners, which
 * run on event loops and only offer signals.
 */
internal class RequestDuty(
    private val context: EntryContext,
    private val outputs: RequestOutputs,
    private val backendClient: BackendClient,
    private val state: RequestDutyState,
    private val newOutbox: () -> (RequestSignal) -> Unit,
) {
    private val decide = requestDecision(defaultPolicies())
    private var nextLoadPollMilliseconds = 0L

    fun handle(signal: RequestSignal) {
        when (signal) {
            is RequestSignal.CompletionSubmitted -> startRequest(signal.submission)
            is RequestSignal.ServiceSubmitted -> startRequest(signal.submission)
            is RequestSignal.ChunksReceived -> handleChunks(signal)
            is RequestSignal.ServiceResponded -> handleServiceResponse(signal.request, signal.attempt, signal.response)
            is RequestSignal.DecisionEvent -> processEvent(signal.event)
        }
    }

    fun tick() {
        processEvent(RequestEvent.Tick)
        recordPendingUsage()
        val nowMilliseconds = context.clock.readMilliseconds()
        if (nowMilliseconds >= nextLoadPollMilliseconds) {
            nextLoadPollMilliseconds = nowMilliseconds + LOAD_POLL_INTERVAL_MILLISECONDS
            pollEngineLoads()
        }
    }

    private fun startRequest(submission: RequestSubmission) {
        val startAttempt = { dispatch: RequestEffect.Dispatch, text: String ->
            val content = engineRequest(submission, dispatch, text)
            backendClient.streamCompletion(dispatch.address, content, attemptListener(dispatch))
        }
        state.activeRequests[submission.arrival.request] =
            ActiveRequest(startAttempt, submission.onReply, onResponse = {})
        processEvent(RequestEvent.RequestSubmitted(submission.arrival))
    }

    private fun startRequest(submission: ServiceSubmission) {
        val startAttempt = { dispatch: RequestEffect.Dispatch, _: String ->
            backendClient.callService(dispatch.address, submission.call, attemptListener(dispatch))
        }
        state.activeRequests[submission.arrival.request] =
            ActiveRequest(startAttempt, submission.onReply, submission.onResponse)
        processEvent(RequestEvent.RequestSubmitted(submission.arrival))
    }

    private fun handleChunks(signal: RequestSignal.ChunksReceived) {
        signal.chunks.forEach { processEvent(RequestEvent.ChunkReceived(signal.request, signal.attempt, it)) }
        signal.requestMore()
    }

    private fun handleServiceResponse(
        request: Long,
        attempt: Int,
        response: AggregatedHttpResponse,
    ) {
        val activeRequest = state.activeRequests[request]
        if (activeRequest != null && activeRequest.attempt == attempt) activeRequest.onResponse(response)
    }

    private fun processEvent(event: RequestEvent) {
        val transition = decide(state.decisionState, event, context.clock.readMilliseconds())
        state.decisionState = transition.state
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.Dispatch -> dispatch(effect)
            is RequestEffect.CancelAttempt -> cancelAttempt(effect)
            is RequestEffect.Reply -> reply(effect.request, effect.reply)
            is RequestEffect.RecordUsage -> state.unrecordedUsage.add(effect).also { recordPendingUsage() }
            is RequestEffect.RecordObjective -> outputs.recordObjective(effect)
            is RequestEffect.ReportCrash -> outputs.reportCrash(effect)
            is RequestEffect.Explain -> explain(effect)
        }
    }

    private fun dispatch(effect: RequestEffect.Dispatch) {
        val activeRequest = state.activeRequests[effect.request] ?: return
        val cancel = activeRequest.startAttempt(effect, activeRequest.text.toString())
        state.activeRequests[effect.request] = activeRequest.copy(attempt = effect.attempt, cancel = cancel)
    }

    private fun cancelAttempt(effect: RequestEffect.CancelAttempt) {
        val activeRequest = state.activeRequests[effect.request] ?: return
        if (activeRequest.attempt == effect.attempt) activeRequest.cancel()
        if (effect.request !in state.decisionState.entries) state.activeRequests.remove(effect.request)
    }

    private fun reply(
        request: Long,
        reply: RequestReply,
    ) {
        val activeRequest = state.activeRequests[request] ?: return
        if (reply is RequestReply.Chunk) activeRequest.text.append(reply.text) else state.activeRequests.remove(request)
        activeRequest.onReply(reply)
    }

    private fun recordPendingUsage() {
        while (state.unrecordedUsage.isNotEmpty() && outputs.recordUsage(state.unrecordedUsage.first())) {
            state.unrecordedUsage.removeFirst()
        }
    }

    private fun explain(effect: RequestEffect.Explain) =
        outputs.explain(
            Explanation(
                wallMilliseconds = context.clock.readWallMilliseconds(),
                instance = context.settings.instance.name,
                subject = "request",
                name = effect.name,
                team = effect.team,
                step = effect.step,
                peer = effect.peer,
                reason = effect.reason,
            ),
        )

    private fun attemptListener(dispatch: RequestEffect.Dispatch): BackendListener {
        val request = dispatch.request
        val attempt = dispatch.attempt
        val offer = newOutbox()
        return BackendListener(
            onChunks = { chunks, requestMore ->
                offer(RequestSignal.ChunksReceived(request, attempt, chunks, requestMore))
            },
            onServiceResponse = { offer(RequestSignal.ServiceResponded(request, attempt, it)) },
            onFinished = { reason, promptTokens ->
                offer(RequestSignal.DecisionEvent(RequestEvent.AttemptFinished(request, attempt, reason, promptTokens)))
            },
            onFailed = { ending, detail ->
                offer(RequestSignal.DecisionEvent(RequestEvent.AttemptFailed(request, attempt, ending, detail)))
            },
        )
    }

    private fun pollEngineLoads() {
        val engines = state.decisionState.servers.values
            .filter {
                state.decisionState.routes.pools[it.pool]
                    ?.model
                    ?.isNotEmpty() == true
            }
        engines.forEach { engine ->
            val name = engine.server.name
            backendClient.fetchLoad(engine.server.address) { load ->
                val event =
                    if (load == null) RequestEvent.LoadRequestFailed(name) else RequestEvent.LoadReported(name, load)
                newOutbox()(RequestSignal.DecisionEvent(event))
            }
        }
    }

    private companion object {
        private const val LOAD_POLL_INTERVAL_MILLISECONDS = 1_000L
    }
}

private fun engineRequest(
    submission: RequestSubmission,
    dispatch: RequestEffect.Dispatch,
    text: String,
): CompletionRequest =
    submission.content.copy(
        stream = true,
        priority = enginePriority(submission.arrival.priority),
        resumeText = text,
        resumeTokens = dispatch.resumeTokens.toInt(),
    )

private fun enginePriority(priority: RoutePriority): Int = priority.ordinal
