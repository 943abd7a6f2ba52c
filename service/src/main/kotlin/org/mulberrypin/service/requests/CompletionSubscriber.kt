package org.mulberrypin.service.requests

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaders
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import org.mulberrypin.decisions.requests.AttemptEnding
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.CompletionChunk
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription

/**
 * Reads one streamed answer of an engine. The answer is whole only if its end mark arrived; anything else is reported
 * as cut. Reads on only when the duty has handled what was read.
 */
internal class CompletionSubscriber(
    private val address: String,
    private val listener: BackendListener,
) : Subscriber<HttpObject> {
    private val events = ServerSentEventBuffer()
    private val errorText = StringBuilder()
    private lateinit var subscription: Subscription
    private var status: HttpStatus = HttpStatus.UNKNOWN
    private var finishReason: String? = null
    private var promptTokens = 0L
    private var ended = false
    private var unreadable: Fault? = null

    override fun onSubscribe(subscription: Subscription) {
        this.subscription = subscription
        subscription.request(1)
    }

    override fun onNext(element: HttpObject) {
        when (element) {
            is ResponseHeaders -> acceptHeaders(element)
            is HttpData -> acceptData(element)
            is HttpHeaders -> subscription.request(1)
            else -> subscription.request(1)
        }
    }

    override fun onError(failure: Throwable) {
        if (!ended) listener.broken(failure)
        ended = true
    }

    override fun onComplete() {
        if (ended) return
        ended = true
        when {
            status == HttpStatus.OK -> {
                listener.onBroken(AttemptEnding.CUT, "The answer ended before its end mark.")
            }

            saysNotRun(errorText.toString(), status, address) -> {
                listener.onBroken(AttemptEnding.REFUSED, "Status ${status.code()}, not run.")
            }

            else -> {
                listener.onBroken(AttemptEnding.FAILED, "Status ${status.code()}.")
            }
        }
    }

    private fun acceptHeaders(headers: ResponseHeaders) {
        if (!headers.status().isInformational) status = headers.status()
        subscription.request(1)
    }

    private fun acceptData(data: HttpData) {
        if (status != HttpStatus.OK) {
            if (errorText.length < ERROR_CHARACTERS) errorText.append(data.toStringUtf8())
            subscription.request(1)
            return
        }
        if (ended) return
        val parts = events.add(data.array()).mapNotNull(::acceptEvent)
        if (parts.isEmpty()) subscription.request(1) else listener.onParts(parts) { subscription.request(1) }
        val fault = unreadable
        when {
            fault != null -> listener.onBroken(AttemptEnding.CUT, fault.toString())
            ended -> listener.onFinished(finishReason ?: UNKNOWN_REASON, promptTokens)
        }
    }

    /** Events behind the end mark or behind one that cannot be read are not taken. */
    private fun acceptEvent(event: String): RequestReply.Part? {
        if (ended) return null
        if (event == END_MARK) {
            ended = true
            return null
        }
        return when (val chunk = parseWireJson(event, CompletionChunk.serializer(), "completion chunk", address)) {
            is Outcome.Success -> acceptChunk(chunk.value)
            is Outcome.Failure -> endUnreadable(chunk.fault)
        }
    }

    /** An event that cannot be read may hold a part of the text, so the answer cannot become whole any more. */
    private fun endUnreadable(fault: Fault): RequestReply.Part? {
        ended = true
        unreadable = fault
        subscription.cancel()
        return null
    }

    private fun acceptChunk(chunk: CompletionChunk): RequestReply.Part? {
        chunk.usage?.let { promptTokens = it.promptTokens }
        val choice = chunk.choices.firstOrNull() ?: return null
        choice.finishReason?.let { finishReason = it }
        val text = choice.delta?.content ?: choice.text
        return if (text.isEmpty() && choice.tokens == 0) {
            null
        } else {
            RequestReply.Part(text, choice.tokens, chunk.weightVersion)
        }
    }

    private companion object {
        private const val END_MARK = "[DONE]"
        private const val UNKNOWN_REASON = "stop"
        private const val ERROR_CHARACTERS = 4_096
    }
}
