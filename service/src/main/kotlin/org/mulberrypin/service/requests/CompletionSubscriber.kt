package org.mulberrypin.service.requests

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaders
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import org.mulberrypin.decisions.requests.AttemptEnding
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.then
import org.mulberrypin.schema.generated.CompletionChunk
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.io.ByteArrayOutputStream

/**
 * Reads one streamed completion from an engine. The completion is finished only if its end marker was received; a
 * stream that ends earlier is reported as cut. Requests more data only after the duty has processed the data received.
 */
internal class CompletionSubscriber(
    private val address: String,
    private val listener: BackendListener,
) : Subscriber<HttpObject> {
    private val eventParser = ServerSentEventParser()
    private val errorBody = ByteArrayOutputStream()
    private lateinit var subscription: Subscription
    private var status: HttpStatus = HttpStatus.UNKNOWN
    private var finishReason: String? = null
    private var promptTokens = 0L
    private var ended = false
    private var parseFault: Fault? = null
    private var informationalHeads = 0

    override fun onSubscribe(subscription: Subscription) {
        this.subscription = subscription
        subscription.request(1)
    }

    override fun onNext(element: HttpObject) {
        when (element) {
            is ResponseHeaders -> handleHeaders(element)
            is HttpData -> handleData(element)
            is HttpHeaders -> subscription.request(1)
            else -> subscription.request(1)
        }
    }

    override fun onError(failure: Throwable) {
        if (!ended) listener.reportFailure(failure)
        ended = true
    }

    override fun onComplete() {
        if (ended) return
        ended = true
        when {
            status == HttpStatus.OK -> {
                listener.onFailed(AttemptEnding.CUT, "The response stream ended before the end marker.")
            }

            isNotRunResponse(errorBody.toString(Charsets.UTF_8), status, address) -> {
                listener.onFailed(AttemptEnding.REFUSED, "HTTP status ${status.code()}; the request was not run.")
            }

            else -> {
                listener.onFailed(AttemptEnding.FAILED, "HTTP status ${status.code()}.")
            }
        }
    }

    private fun handleHeaders(headers: ResponseHeaders) {
        if (!headers.status().isInformational) {
            status = headers.status()
        } else if (++informationalHeads > MAX_INFORMATIONAL_HEADS) {
            return cutEndless("informational heads")
        }
        subscription.request(1)
    }

    private fun handleData(data: HttpData) {
        if (status != HttpStatus.OK) {
            if (errorBody.size() < MAX_ERROR_BYTES) errorBody.writeBytes(data.array())
            subscription.request(1)
            return
        }
        if (ended) return
        val chunks = eventParser.append(data.array()).mapNotNull(::handleEvent)
        if (!ended && eventParser.isMalformed) parseFault = endAsMalformed()
        if (!ended && eventParser.unfinishedBytes > MAX_EVENT_BYTES) return cutEndless("bytes of an event")
        if (chunks.isEmpty()) subscription.request(1) else listener.onChunks(chunks) { subscription.request(1) }
        val fault = parseFault
        when {
            fault != null -> listener.onFailed(AttemptEnding.CUT, fault.toString())
            ended -> listener.onFinished(finishReason ?: DEFAULT_FINISH_REASON, promptTokens)
        }
    }

    /** Cancels a response without end, which closes its connection; the request may have run. */
    private fun cutEndless(what: String) {
        if (ended) return
        ended = true
        subscription.cancel()
        listener.onFailed(AttemptEnding.CUT, "The response has too many $what.")
    }

    /** Ignores events that follow the end marker or a malformed event. */
    private fun handleEvent(event: String): RequestReply.Chunk? {
        if (ended) return null
        if (event == END_MARKER) {
            ended = true
            return null
        }
        return when (val chunk = parseChunk(event)) {
            is Outcome.Success -> handleChunk(chunk.value)
            is Outcome.Failure -> failOnMalformedEvent(chunk.fault)
        }
    }

    /** Any other event, such as an error, means that the completion may lack a part. */
    private fun parseChunk(event: String): Outcome<CompletionChunk> =
        parseWireJson(event, CompletionChunk.serializer(), STEP, address).then { chunk ->
            if (chunk.choices.isNotEmpty() || chunk.usage != null) {
                Outcome.Success(chunk)
            } else {
                Outcome.Failure(Fault(STEP, address, FaultKind.REFUSED, "found neither choices nor usage"))
            }
        }

    private fun endAsMalformed(): Fault {
        ended = true
        subscription.cancel()
        return Fault(STEP, address, FaultKind.REFUSED, "found a line that is not UTF-8")
    }

    /** A malformed event may have contained text, so the completion can no longer be finished. */
    private fun failOnMalformedEvent(fault: Fault): RequestReply.Chunk? {
        ended = true
        parseFault = fault
        subscription.cancel()
        return null
    }

    private fun handleChunk(chunk: CompletionChunk): RequestReply.Chunk? {
        chunk.usage?.let { promptTokens = it.promptTokens }
        val choice = chunk.choices.firstOrNull() ?: return null
        choice.finishReason?.let { finishReason = it }
        val text = choice.delta?.content ?: choice.text
        return if (text.isEmpty() && choice.tokens == 0) {
            null
        } else {
            RequestReply.Chunk(text, choice.tokens, chunk.weightVersion)
        }
    }

    private companion object {
        private const val STEP = "completion chunk"
        private const val END_MARKER = "[DONE]"
        private const val DEFAULT_FINISH_REASON = "stop"
        private const val MAX_ERROR_BYTES = 4_096

        /** Maximum size of one event of a completion, in bytes; events hold some tokens each. */
        private const val MAX_EVENT_BYTES = 1_048_576

        /** Maximum number of informational heads before a response; backend servers send one at most. */
        private const val MAX_INFORMATIONAL_HEADS = 16
    }
}
