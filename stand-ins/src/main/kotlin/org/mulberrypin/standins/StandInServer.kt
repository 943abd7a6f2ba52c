package org.mulberrypin.standins

import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import java.net.InetSocketAddress

/**
 * An HTTP server of a stand-in.
 *
 * @property address host and port under which it listens
 * @property stop closes the port and cuts all connections at once
 */
internal data class StandInServer(
    val address: String,
    val stop: () -> Unit,
)

/** Starts a server with the routes that [addRoutes] adds on [port] of the loopback interface; 0 takes a free port. */
internal fun startStandInServer(
    port: Int,
    addRoutes: (ServerBuilder) -> Unit,
): StandInServer {
    val builder = Server
        .builder()
        .http(InetSocketAddress(LOOPBACK, port))
        .requestTimeoutMillis(0)
        .maxRequestLength(REQUEST_BYTES)
        .gracefulShutdownTimeoutMillis(0, 0)
    addRoutes(builder)
    val server = builder.build()
    server.start().join()
    return StandInServer(
        address = "$LOOPBACK:${server.activeLocalPort()}",
        stop = { server.stop().join() },
    )
}

private const val LOOPBACK = "127.0.0.1"
private const val REQUEST_BYTES = 256L * 1024 * 1024
