package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpResponse
import org.mulberrypin.decisions.requests.RequestEffect
import org.mulberrypin.decisions.requests.RequestEvent
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.decisions.requests.requestDecision
import org.mulberrypin.decisions.requests.servicePolicies
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.schema.generated.RoutePriority
import org.mulberrypin.service.EntryContext

/**
 * Handles the signals of the request duty. All functions run on the duty's thread, but for the listeners of backend
 * servers, which run on event loops and only offer signals.
 */
internal class RequestDuty(
    private val context: EntryContext,
    private val outlets: RequestOutlets,
    private val backendClient: BackendClient,
    private val state: RequestDutyState,
    private val newOutbox: () -> (RequestSignal) -> Unit,
) {
    private val decide = requestDecision(servicePolicies())
    private var nextLoadMilliseconds = 0L

    fun handle(signal: RequestSignal) {
        when (signal) {
            is RequestSignal.Submitted -> accept(signal.submission)
            is RequestSignal.PlainSubmitted -> accept(signal.submission)
            is RequestSignal.PartsArrived -> acceptParts(signal)
            is RequestSignal.PlainAnswered -> acceptAnswer(signal.request, signal.attempt, signal.answer)
            is RequestSignal.Told -> decideAndPerform(signal.event)
        }
    }

    fun tick() {
        decideAndPerform(RequestEvent.Ticked)
        recordPendingUsage()
        val nowMilliseconds = context.clock.readMilliseconds()
        if (nowMilliseconds >= nextLoadMilliseconds) {
            nextLoadMilliseconds = nowMilliseconds + LOAD_INTERVAL_MILLISECONDS
            askForLoads()
        }
    }

    private fun accept(submission: RequestSubmission) {
        val start = { dispatch: RequestEffect.Dispatch, text: String ->
            val content = engineRequest(submission, dispatch, text)
            backendClient.complete(dispatch.address, content, listener(dispatch))
        }
        state.flows[submission.arrival.request] = RequestFlow(start, submission.onReply, onAnswer = {})
        decideAndPerform(RequestEvent.Arrived(submission.arrival))
    }

    private fun accept(submission: PlainSubmission) {
        val start = { dispatch: RequestEffect.Dispatch, _: String ->
            backendClient.callPlain(dispatch.address, submission.call, listener(dispatch))
        }
        state.flows[submission.arrival.request] = RequestFlow(start, submission.onReply, submission.onAnswer)
        decideAndPerform(RequestEvent.Arrived(submission.arrival))
    }

    private fun acceptParts(signal: RequestSignal.PartsArrived) {
        signal.parts.forEach { decideAndPerform(RequestEvent.PartArrived(signal.request, signal.attempt, it)) }
        signal.readOn()
    }

    private fun acceptAnswer(
        request: Long,
        attempt: Int,
        answer: AggregatedHttpResponse,
    ) {
        val flow = state.flows[request]
        if (flow != null && flow.attempt == attempt) flow.onAnswer(answer)
    }

    private fun decideAndPerform(event: RequestEvent) {
        val transition = decide(state.book, event, context.clock.readMilliseconds())
        state.book = transition.state
        transition.effects.forEach(::perform)
    }

    private fun perform(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.Dispatch -> dispatch(effect)
            is RequestEffect.CancelAttempt -> cancelAttempt(effect)
            is RequestEffect.Reply -> reply(effect.request, effect.reply)
            is RequestEffect.RecordUsage -> state.unrecorded.add(effect).also { recordPendingUsage() }
            is RequestEffect.RecordObjective -> outlets.recordObjective(effect)
            is RequestEffect.ReportCrash -> outlets.reportCrash(effect)
            is RequestEffect.Explain -> explain(effect)
        }
    }

    private fun dispatch(effect: RequestEffect.Dispatch) {
        val flow = state.flows[effect.request] ?: return
        val cancel = flow.start(effect, flow.text.toString())
        state.flows[effect.request] = flow.copy(attempt = effect.attempt, cancel = cancel)
    }

    private fun cancelAttempt(effect: RequestEffect.CancelAttempt) {
        val flow = state.flows[effect.request] ?: return
        if (flow.attempt == effect.attempt) flow.cancel()
        if (effect.request !in state.book.entries) state.flows.remove(effect.request)
    }

    private fun reply(
        request: Long,
        reply: RequestReply,
    ) {
        val flow = state.flows[request] ?: return
        if (reply is RequestReply.Part) flow.text.append(reply.text) else state.flows.remove(request)
        flow.onReply(reply)
    }

    private fun recordPendingUsage() {
        while (state.unrecorded.isNotEmpty() && outlets.recordUsage(state.unrecorded.first())) {
            state.unrecorded.removeFirst()
        }
    }

    private fun explain(effect: RequestEffect.Explain) =
        outlets.explain(
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

    private fun listener(dispatch: RequestEffect.Dispatch): BackendListener {
        val request = dispatch.request
        val attempt = dispatch.attempt
        val offer = newOutbox()
        return BackendListener(
            onParts = { parts, readOn -> offer(RequestSignal.PartsArrived(request, attempt, parts, readOn)) },
            onPlainAnswer = { offer(RequestSignal.PlainAnswered(request, attempt, it)) },
            onFinished = { reason, promptTokens ->
                offer(RequestSignal.Told(RequestEvent.AttemptFinished(request, attempt, reason, promptTokens)))
            },
            onBroken = { ending, detail ->
                offer(RequestSignal.Told(RequestEvent.AttemptBroke(request, attempt, ending, detail)))
            },
        )
    }

    private fun askForLoads() {
        val engines = state.book.servers.values
            .filter {
                state.book.routes.pools[it.pool]
                    ?.model
                    ?.isNotEmpty() == true
            }
        engines.forEach { engine ->
            val name = engine.server.name
            backendClient.readLoad(engine.server.address) { load ->
                val event = if (load == null) RequestEvent.LoadMissing(name) else RequestEvent.LoadReported(name, load)
                newOutbox()(RequestSignal.Told(event))
            }
        }
    }

    private companion object {
        private const val LOAD_INTERVAL_MILLISECONDS = 1_000L
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
