package org.mulberrypin.service.requests

import java.io.BufferedReader
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * A backend server that answers with scripted bytes over plain sockets, so that it can break the protocol.
 *
 * @property connections number of accepted connections
 * @property stop closes the port
 */
internal data class ScriptedServer(
    val address: String,
    val connections: AtomicInteger,
    val stop: () -> Unit,
)

/**
 * One connection to a [ScriptedServer].
 *
 * @property number number of this connection, counted from 1
 * @property readRequest reads the next request; null at the end of the connection
 */
internal data class ScriptedConnection(
    val number: Int,
    val readRequest: () -> ScriptedRequest?,
    val write: (String) -> Unit,
    val reset: () -> Unit,
)

/**
 * A request as it was read.
 *
 * @property attempt header line that a response to this request has to repeat; empty if the request has none
 */
internal data class ScriptedRequest(
    val path: String,
    val attempt: String,
    val body: String,
)

/** Starts a server that handles each connection with [serve] on a thread of its own, and then closes it. */
internal fun startScriptedServer(serve: (ScriptedConnection) -> Unit): ScriptedServer {
    val socket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val connections = AtomicInteger()
    thread(isDaemon = true) {
        while (!socket.isClosed) {
            val accepted = acceptOrNull(socket) ?: break
            val number = connections.incrementAndGet()
            thread(isDaemon = true) { handle(accepted, number, serve) }
        }
    }
    return ScriptedServer("127.0.0.1:${socket.localPort}", connections, socket::close)
}

private fun acceptOrNull(socket: ServerSocket): Socket? =
    try {
        socket.accept()
    } catch (_: IOException) {
        null // The test has stopped the server.
    }

private fun handle(
    socket: Socket,
    number: Int,
    serve: (ScriptedConnection) -> Unit,
) {
    try {
        socket.use {
            val input = it.getInputStream().bufferedReader(Charsets.ISO_8859_1)
            val output = it.getOutputStream()
            val write = { text: String -> output.write(text.toByteArray(Charsets.ISO_8859_1)) }
            serve(ScriptedConnection(number, { readRequest(input) }, write) { it.setSoLinger(true, 0) })
        }
    } catch (_: IOException) {
        // The peer has closed the connection.
    }
}

private fun readRequest(input: BufferedReader): ScriptedRequest? {
    val lines = generateSequence(input::readLine).takeWhile { it.isNotEmpty() }.toList()
    val requestLine = lines.firstOrNull() ?: return null
    val length = lines.firstOrNull { it.startsWith("content-length:", ignoreCase = true) }?.substringAfter(':')
    val body = CharArray(length?.trim()?.toInt() ?: 0) { input.read().toChar() }.concatToString()
    val attempt = lines.firstOrNull { it.startsWith("x-attempt-id:", ignoreCase = true) }
    return ScriptedRequest(requestLine.split(' ')[1], attempt?.plus("\r\n").orEmpty(), body)
}

private const val BACKLOG = 50
