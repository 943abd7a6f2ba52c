/** A pending HTTP request. It hides the HTTP library from the threads that process requests. */
package org.mulberrypin.standins

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.logging.RequestLogProperty
import com.linecorp.armeria.server.ServiceRequestContext
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * A request that awaits its response. All functions may be called from any thread and never block.
 *
 * @property respond sends the response
 * @property disconnect closes the connection immediately, before the response or in the middle of it
 * @property whenClosed registers a callback, run on any thread, for a client that disconnects before the
 * response has ended
 * @property delay schedules a function after a number of milliseconds
 */
internal data class HttpExchange(
    val respond: (HttpResponse) -> Unit,
    val disconnect: () -> Unit,
    val whenClosed: (action: () -> Unit) -> Unit,
    val delay: (milliseconds: Long, action: () -> Unit) -> Unit,
)

/** Creates the exchange of a request, passes it to [handle], and returns the response for the HTTP server. */
internal fun openExchange(
    context: ServiceRequestContext,
    handle: (HttpExchange) -> Unit,
): HttpResponse {
    val pending = CompletableFuture<HttpResponse>()
    val response = HttpResponse.of(pending)
    val exchange = HttpExchange(
        respond = { pending.complete(it) },
        disconnect = { closeConnection(context) },
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
