package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpResponse
import org.mulberrypin.decisions.requests.RequestReply
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

/**
 * The answer of a plain service to one caller.
 *
 * @property response completed with the HTTP response
 * @property acceptAnswer takes the backend server's answer, before the reply that it is whole
 * @property respond sends a response that was made without the backend server
 * @property acceptReply takes the replies in their order
 */
internal data class PlainAnswer(
    val response: CompletableFuture<HttpResponse>,
    val acceptAnswer: (AggregatedHttpResponse) -> Unit,
    val respond: (AggregatedHttpResponse) -> Unit,
    val acceptReply: (RequestReply) -> Unit,
)

/** Creates the answer for one call. */
internal fun plainAnswer(): PlainAnswer {
    val response = CompletableFuture<HttpResponse>()
    val received = AtomicReference<AggregatedHttpResponse>()
    return PlainAnswer(
        response = response,
        acceptAnswer = received::set,
        respond = { response.complete(it.toHttpResponse()) },
        acceptReply = { reply -> finalResponse(reply, received.get())?.let { response.complete(it.toHttpResponse()) } },
    )
}

private fun finalResponse(
    reply: RequestReply,
    received: AggregatedHttpResponse?,
): AggregatedHttpResponse? =
    when (reply) {
        is RequestReply.Part -> null
        is RequestReply.Finished -> received
        is RequestReply.NotRun -> refusalResponse(reply)
        is RequestReply.MayHaveRun -> failureResponse(reply)
    }
