/** One request and its response, apart from the HTTP library, so that duties answer without knowing it. */
package org.mulberrypin.standins

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.logging.RequestLogProperty
import com.linecorp.armeria.server.ServiceRequestContext
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * A request of a client that waits for its response. All functions may be called from any thread and never block.
 *
 * @property respond sends the response
 * @property cut closes the connection at once, in front of a response or in the middle of one
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
    val pending = CompletableFuture<HttpResponse>()
    val response = HttpResponse.of(pending)
    val exchange = HttpExchange(
        respond = { pending.complete(it) },
        cut = { closeConnection(context) },
        whenClosed = { action -> response.whenComplete().whenComplete { _, failure -> if (failure != null) action() } },
        delay = { milliseconds, action ->
            context.eventLoop().withoutContext().schedule(action, milliseconds, TimeUnit.MILLISECONDS)
        },
    )
    handle(exchange)
    return response
}

private fun closeConnection(context: ServiceRequestContext) {
    context.log().whenAvailable(RequestLogProperty.SESSION).thenAccept { log -> log.channel()?.close() }
}
