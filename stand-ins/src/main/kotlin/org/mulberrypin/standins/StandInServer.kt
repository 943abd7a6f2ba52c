/** The HTTP server of a stand-in, which ends the way a killed process does: at once and with all connections cut. */
package org.mulberrypin.standins

import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/**
 * @property address host and port under which it listens
 * @property stop cuts all connections and returns once the port refuses new ones
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
    val openPort = server.activeLocalPort()
    return StandInServer(
        address = "$LOOPBACK:$openPort",
        stop = {
            server.stop()
            awaitRefusal(openPort)
        },
    )
}

/** Waits until [port] refuses connections; the threads of its server take much longer to end. */
private fun awaitRefusal(port: Int) {
    repeat(REFUSAL_ATTEMPTS) {
        if (refuses(port)) return
        Thread.sleep(REFUSAL_PAUSE_MILLISECONDS)
    }
}

private fun refuses(port: Int): Boolean =
    try {
        Socket().use { it.connect(InetSocketAddress(LOOPBACK, port)) }
        false
    } catch (_: IOException) {
        true
    }

private const val LOOPBACK = "127.0.0.1"
private const val REQUEST_BYTES = 256L * 1024 * 1024
private const val REFUSAL_ATTEMPTS = 400
private const val REFUSAL_PAUSE_MILLISECONDS = 5L
