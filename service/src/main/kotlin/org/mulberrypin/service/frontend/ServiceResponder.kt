package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpResponse
import org.mulberrypin.decisions.requests.RequestReply
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

/**
 * Builds the HTTP response to one call to a plain service.
 *
 * @property response completed with the HTTP response
 * @property onServiceResponse stores the backend server's response, before the reply that marks the call as finished
 * @property respond responds without the backend server
 * @property onReply processes the replies in order
 */
internal data class ServiceResponder(
    val response: CompletableFuture<HttpResponse>,
    val onServiceResponse: (AggregatedHttpResponse) -> Unit,
    val respond: (AggregatedHttpResponse) -> Unit,
    val onReply: (RequestReply) -> Unit,
)

/** Creates the responder for one call. */
internal fun serviceResponder(): ServiceResponder {
    val response = CompletableFuture<HttpResponse>()
    val received = AtomicReference<AggregatedHttpResponse>()
    return ServiceResponder(
        response = response,
        onServiceResponse = received::set,
        respond = { response.complete(it.toHttpResponse()) },
        onReply = { reply -> finalResponse(reply, received.get())?.let { response.complete(it.toHttpResponse()) } },
    )
}

private fun finalResponse(
    reply: RequestReply,
    received: AggregatedHttpResponse?,
): AggregatedHttpResponse? =
    when (reply) {
        is RequestReply.Chunk -> null
        is RequestReply.Finished -> received
        is RequestReply.NotRun -> refusalResponse(reply)
        is RequestReply.MayHaveRun -> failureResponse(reply)
    }
