/** The HTTP server of a stand-in. It stops like a killed process: immediately, closing all connections. */
package org.mulberrypin.standins

import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/**
 * @property address host and port on which it listens
 * @property stop closes all connections and returns once the port refuses new ones
 */
internal data class StandInServer(
    val address: String,
    val stop: () -> Unit,
)

/** Starts a server with the routes of [addRoutes] on [port] of the loopback interface; 0 selects a free port. */
internal fun startStandInServer(
    port: Int,
    addRoutes: (ServerBuilder) -> Unit,
): StandInServer {
    val builder = Server
        .builder()
        .http(InetSocketAddress(LOOPBACK, port))
        .requestTimeoutMillis(0)
        .maxRequestLength(MAXIMUM_REQUEST_BYTES)
        .gracefulShutdownTimeoutMillis(0, 0)
    addRoutes(builder)
    repeatAttemptIdentifiers(builder)
    val server = builder.build()
    server.start().join()
    val openPort = server.activeLocalPort()
    return StandInServer(
        address = "$LOOPBACK:$openPort",
        stop = {
            server.stop()
            awaitRefusal(openPort)
        },
    )
}

/** Repeats the identifier of each request in its response, so that the client can tell whose response it is. */
private fun repeatAttemptIdentifiers(builder: ServerBuilder) {
    builder.decorator { delegate, context, request ->
        request.headers().get(ATTEMPT_ID_HEADER)?.let { context.addAdditionalResponseHeader(ATTEMPT_ID_HEADER, it) }
        delegate.serve(context, request)
    }
}

/** Waits until [port] refuses connections, which is much sooner than the threads of its server end. */
private fun awaitRefusal(port: Int) {
    repeat(REFUSAL_ATTEMPTS) {
        if (refusesConnections(port)) return
        Thread.sleep(REFUSAL_PAUSE_MILLISECONDS)
    }
}

private fun refusesConnections(port: Int): Boolean =
    try {
        Socket().use { it.connect(InetSocketAddress(LOOPBACK, port)) }
        false
    } catch (_: IOException) {
        true
    }

private const val ATTEMPT_ID_HEADER = "x-attempt-id"
private const val LOOPBACK = "127.0.0.1"
private const val MAXIMUM_REQUEST_BYTES = 256L * 1024 * 1024
private const val REFUSAL_ATTEMPTS = 400
private const val REFUSAL_PAUSE_MILLISECONDS = 5L
