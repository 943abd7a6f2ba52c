/**
 * Calls backend servers over HTTP/1.1, without retries. A cancelled or failed exchange closes its connection, so that a
 * late response cannot be mistaken for the response to another caller's request.
 */
package org.mulberrypin.service.requests

import com.linecorp.armeria.client.ClientFactory
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
import org.mulberrypin.platform.MalformedResponseException
import org.mulberrypin.platform.requireOrderlyEnds
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.encodeWireJson
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.EngineLoad
import org.mulberrypin.schema.generated.ErrorAnswer
import org.mulberrypin.service.NOT_RUN
import java.time.Duration

/** Creates a [BackendClient] that uses Armeria's HTTP client. */
internal fun armeriaBackendClient(): BackendClient {
    val client =
        WebClient
            .builder()
            .factory(ClientFactory.builder().requireOrderlyEnds().build())
            .responseTimeout(Duration.ZERO)
            .maxResponseLength(MAX_SERVICE_RESPONSE_BYTES)
            .decorator(attemptIdentifiers())
            .build()
    return BackendClient(
        streamCompletion = { address, content, listener -> streamCompletion(client, address, content, listener) },
        callService = { address, call, listener -> callService(client, address, call, listener) },
        fetchLoad = { address, onLoad -> fetchLoad(client, address, onLoad) },
    )
}

private fun streamCompletion(
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
    val body = encodeWireJson(CompletionRequest.serializer(), content)
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

private fun callService(
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
    response.aggregate().handle { received, failure ->
        if (failure == null) reportServiceResponse(address, received, listener) else listener.reportFailure(failure)
    }
    return { response.abort() }
}

private fun reportServiceResponse(
    address: String,
    response: AggregatedHttpResponse,
    listener: BackendListener,
) {
    if (isNotRunResponse(response.contentUtf8(), response.status(), address)) {
        listener.onFailed(AttemptEnding.REFUSED, "HTTP status ${response.status().code()}; the request was not run.")
    } else {
        listener.onServiceResponse(response)
        listener.onFinished("stop", 0)
    }
}

private fun fetchLoad(
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
    client.execute(request, options).aggregate().handle { response, failure ->
        val hasReport = failure == null && response.status() == HttpStatus.OK
        onLoad(if (hasReport) parseLoad(response.contentUtf8(), address) else null)
    }
}

private fun parseLoad(
    text: String,
    address: String,
): EngineLoad? =
    when (val parsed = parseWireJson(text, EngineLoad.serializer(), "load report", address)) {
        is Outcome.Success -> parsed.value
        is Outcome.Failure -> null
    }

/**
 * Reports a failed exchange. Only a request that is known not to have been processed counts as not sent; a response to
 * another request, or one that breaks the protocol, is no crash of the server.
 */
internal fun BackendListener.reportFailure(failure: Throwable) {
    val cause = Exceptions.peel(failure)
    val malformed = generateSequence(cause) { it.cause }.firstOrNull { it is MalformedResponseException }
    val ending = when (cause) {
        is UnprocessedRequestException -> AttemptEnding.NOT_SENT
        is ForeignResponseException -> AttemptEnding.FAILED
        else -> if (malformed == null) AttemptEnding.CUT else AttemptEnding.FAILED
    }
    onFailed(ending, malformed?.message ?: (cause.javaClass.simpleName + "."))
}

/** Returns true if an error response of a backend server states that it did not run the request. */
internal fun isNotRunResponse(
    text: String,
    status: HttpStatus,
    address: String,
): Boolean {
    if (status.isSuccess) return false
    val parsed = parseWireJson(text, ErrorAnswer.serializer(), "error response", address)
    return parsed is Outcome.Success && parsed.value.error.run == NOT_RUN
}

/** Maximum size of a plain service's response, in bytes. */
private const val MAX_SERVICE_RESPONSE_BYTES = 10L * 1024 * 1024

/** Timeout for a load report, in milliseconds. */
private const val LOAD_TIMEOUT_MILLISECONDS = 1_000L
