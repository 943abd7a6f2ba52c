/**
 * Calls backend servers over HTTP/1.1. A cancelled or broken exchange closes its connection, so that an answer that
 * may still be coming never meets another caller's request. Nothing is retried here.
 */
package org.mulberrypin.service.requests

import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.util.Exceptions
import org.mulberrypin.decisions.requests.AttemptEnding
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.EngineLoad
import org.mulberrypin.schema.generated.ErrorAnswer
import org.mulberrypin.service.NOT_RUN
import java.time.Duration

/** Creates a client for backend servers. */
internal fun armeriaBackendClient(): BackendClient {
    val client =
        WebClient
            .builder()
            .responseTimeout(Duration.ZERO)
            .maxResponseLength(PLAIN_ANSWER_BYTES)
            .build()
    return BackendClient(
        complete = { address, content, listener -> complete(client, address, content, listener) },
        callPlain = { address, call, listener -> callPlain(client, address, call, listener) },
        readLoad = { address, onLoad -> readLoad(client, address, onLoad) },
    )
}

private fun complete(
    client: WebClient,
    address: String,
    content: CompletionRequest,
    listener: BackendListener,
): () -> Unit {
    val path = if (content.messages.isEmpty()) "/v1/completions" else "/v1/chat/completions"
    val headers =
        RequestHeaders
            .builder(HttpMethod.POST, "h1c://$address$path")
            .contentType(MediaType.JSON)
            .add(HttpHeaderNames.ACCEPT, MediaType.EVENT_STREAM.toString())
            .build()
    val body = wireJson.encodeToString(CompletionRequest.serializer(), content)
    val options = RequestOptions
        .builder()
        .maxResponseLength(0)
        .build()
    val response = client.execute(
        HttpRequest.of(
            headers,
            com.linecorp.armeria.common.HttpData
                .ofUtf8(body),
        ),
        options,
    )
    response.subscribe(CompletionSubscriber(address, listener))
    return { response.abort() }
}

private fun callPlain(
    client: WebClient,
    address: String,
    call: AggregatedHttpRequest,
    listener: BackendListener,
): () -> Unit {
    val headers = call
        .headers()
        .toBuilder()
        .path("h1c://$address${call.path()}")
        .build()
    val response = client.execute(HttpRequest.of(headers, call.content()))
    response.aggregate().handle { answer, failure ->
        if (failure == null) answerPlain(address, answer, listener) else listener.broken(failure)
    }
    return { response.abort() }
}

private fun answerPlain(
    address: String,
    answer: AggregatedHttpResponse,
    listener: BackendListener,
) {
    if (saysNotRun(answer.contentUtf8(), answer.status(), address)) {
        listener.onBroken(AttemptEnding.REFUSED, "Status ${answer.status().code()}, not run.")
    } else {
        listener.onPlainAnswer(answer)
        listener.onFinished("stop", 0)
    }
}

private fun readLoad(
    client: WebClient,
    address: String,
    onLoad: (EngineLoad?) -> Unit,
) {
    val options =
        RequestOptions
            .builder()
            .responseTimeoutMillis(LOAD_TIMEOUT_MILLISECONDS)
            .build()
    val request = HttpRequest.of(HttpMethod.GET, "h1c://$address/load")
    client.execute(request, options).aggregate().handle { answer, failure ->
        val isAnswered = failure == null && answer.status() == HttpStatus.OK
        onLoad(if (isAnswered) parsedLoad(answer.contentUtf8(), address) else null)
    }
}

private fun parsedLoad(
    text: String,
    address: String,
): EngineLoad? =
    when (val parsed = parseWireJson(text, EngineLoad.serializer(), "load report", address)) {
        is Outcome.Success -> parsed.value
        is Outcome.Failure -> null
    }

/** Reports a failed exchange; only a request that certainly was not processed counts as not sent. */
internal fun BackendListener.broken(failure: Throwable) {
    val cause = Exceptions.peel(failure)
    val ending = if (cause is UnprocessedRequestException) AttemptEnding.NOT_SENT else AttemptEnding.CUT
    onBroken(ending, cause.javaClass.simpleName + ".")
}

/** True when a backend server's error answer says that it did not run the request. */
internal fun saysNotRun(
    text: String,
    status: HttpStatus,
    address: String,
): Boolean {
    if (status.isSuccess) return false
    val parsed = parseWireJson(text, ErrorAnswer.serializer(), "error answer", address)
    return parsed is Outcome.Success && parsed.value.error.run == NOT_RUN
}

/** Largest answer of a plain service, in bytes. */
private const val PLAIN_ANSWER_BYTES = 10L * 1024 * 1024

/** Longest wait for a load report, in milliseconds. */
private const val LOAD_TIMEOUT_MILLISECONDS = 1_000L
