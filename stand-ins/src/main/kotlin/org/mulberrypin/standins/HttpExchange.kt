package org.mulberrypin.standins

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.stream.ClosedStreamException
import com.linecorp.armeria.server.ServiceRequestContext
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * A request of a client that waits for its response. All functions may be called from any thread and never block.
 *
 * @property respond sends the response
 * @property cut closes the connection without a response
 * @property whenClosed calls a function, on any thread, when the client goes before the response is whole
 * @property delay calls a function after a number of milliseconds
 */
internal data class HttpExchange(
    val respond: (HttpResponse) -> Unit,
    val cut: () -> Unit,
    val whenClosed: (action: () -> Unit) -> Unit,
    val delay: (milliseconds: Long, action: () -> Unit) -> Unit,
)

/** Opens the exchange of a request and answers it with the response to hand to the server. */
internal fun openExchange(
    context: ServiceRequestContext,
    handle: (HttpExchange) -> Unit,
): HttpResponse {
    val response = CompletableFuture<HttpResponse>()
    val outer = HttpResponse.of(response)
    val exchange = HttpExchange(
        respond = { response.complete(it) },
        cut = { response.complete(cutResponse()) },
        whenClosed = { action -> outer.whenComplete().exceptionally { action.toVoid() } },
        delay = { milliseconds, action ->
            context.eventLoop().withoutContext().schedule(action, milliseconds, TimeUnit.MILLISECONDS)
        },
    )
    handle(exchange)
    return outer
}

private fun (() -> Unit).toVoid(): Void? {
    invoke()
    return null
}

/** A response that makes the server close the connection without sending anything. */
internal fun cutResponse(): HttpResponse = HttpResponse.ofFailure(ClosedStreamException.get())
