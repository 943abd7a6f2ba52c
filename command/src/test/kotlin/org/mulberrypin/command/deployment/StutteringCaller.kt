/** Callers of a run with servers that answer twice: they keep connections, pipeline requests and give up. */
package org.mulberrypin.command.deployment

import org.mulberrypin.runtime.systemClock
import org.mulberrypin.standins.deployment.CALLER_KEY
import org.mulberrypin.standins.deployment.ROUTE_HOST
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

/**
 * A request that a caller sent.
 *
 * @property response the complete response, or null if none arrived
 * @property surplus whether bytes arrived while no request was waiting on the connection
 */
internal data class SentRequest(
    val id: String,
    val method: String,
    val path: String,
    val body: String,
    val deadlineMilliseconds: Long,
    val sentMilliseconds: Long,
    val response: RawMessage? = null,
    val surplus: Boolean = false,
) {
    val isRepeatable: Boolean
        get() = path.startsWith("/orders/")
}

/** Sends requests to random instances; each connection is used for one batch of requests after the other. */
internal class StutteringCaller(
    private val name: String,
    private val ports: () -> List<Int>,
    private val sent: ConcurrentLinkedQueue<SentRequest>,
    seed: Long,
) {
    private val random = Random(seed)
    private val clock = systemClock()
    private var number = 0

    fun runWhile(shouldContinue: () -> Boolean) {
        while (shouldContinue()) {
            val port = ports().randomOrNull(random)
            if (port != null) ignoringErrors { Socket().use { useConnection(it, port, shouldContinue) } }
            Thread.sleep(PAUSE_MILLISECONDS)
        }
    }

    private fun useConnection(
        socket: Socket,
        port: Int,
        shouldContinue: () -> Boolean,
    ) {
        socket.connect(InetSocketAddress("127.0.0.1", port), CONNECT_MILLISECONDS)
        socket.soTimeout = READ_MILLISECONDS
        socket.tcpNoDelay = true
        val input = socket.getInputStream().buffered()
        var isOpen = true
        repeat(random.nextInt(1, BATCHES_PER_CONNECTION)) {
            if (!isOpen || !shouldContinue()) return
            val surplus = input.available() > 0
            val requests = List(if (random.nextDouble() < PIPELINE_SHARE) random.nextInt(2, MAX_PIPELINE) else 1) {
                createRequest().copy(surplus = surplus)
            }
            socket.getOutputStream().write(requests.joinToString("", transform = ::textOf).toByteArray())
            if (random.nextDouble() < GIVE_UP_SHARE) {
                sent.addAll(requests)
                Thread.sleep(random.nextLong(MAX_PATIENCE_MILLISECONDS))
                return
            }
            requests.forEach { request ->
                val response = if (isOpen) readResponse(input) else null
                sent.add(request.copy(response = response))
                isOpen = isOpen && response != null && response.header("connection") != "close"
            }
        }
    }

    private fun readResponse(input: java.io.InputStream): RawMessage? =
        try {
            readMessage(input, isResponse = true)
        } catch (_: IOException) {
            null
        }

    private fun createRequest(): SentRequest {
        number++
        val id = "$name-$number"
        val prefix = if (random.nextDouble() < REPEATABLE_SHARE) "/orders/" else "/payments/"
        val isPost = prefix == "/payments/" || random.nextBoolean()
        val body = if (isPost) "body of $id " + "y".repeat(random.nextInt(MAX_BODY)) else ""
        val deadline = random.nextLong(MIN_DEADLINE_MILLISECONDS, MAX_DEADLINE_MILLISECONDS)
        return SentRequest(id, if (isPost) "POST" else "GET", "$prefix$id", body, deadline, clock.readMilliseconds())
    }

    private fun textOf(request: SentRequest): String {
        val head = "${request.method} ${request.path} HTTP/1.1\r\nHost: $ROUTE_HOST\r\n" +
            "Authorization: Bearer $CALLER_KEY\r\nMulberrypin-Request-Id: ${request.id}\r\n" +
            "Mulberrypin-Deadline-Ms: ${request.deadlineMilliseconds}\r\n"
        return when {
            request.body.isEmpty() -> {
                "$head\r\n"
            }

            random.nextBoolean() -> {
                "${head}Content-Length: ${request.body.length}\r\n\r\n${request.body}"
            }

            else -> {
                head + "Transfer-Encoding: chunked\r\n\r\n" +
                    request.body.length.toString(HEXADECIMAL) + "\r\n${request.body}\r\n0\r\n\r\n"
            }
        }
    }

    private companion object {
        private const val HEXADECIMAL = 16
        private const val PAUSE_MILLISECONDS = 10L
        private const val CONNECT_MILLISECONDS = 1_000
        private const val READ_MILLISECONDS = 6_000
        private const val BATCHES_PER_CONNECTION = 40
        private const val PIPELINE_SHARE = 0.1
        private const val MAX_PIPELINE = 5
        private const val GIVE_UP_SHARE = 0.04
        private const val MAX_PATIENCE_MILLISECONDS = 30L
        private const val REPEATABLE_SHARE = 0.7
        private const val MAX_BODY = 3_000
        private const val MIN_DEADLINE_MILLISECONDS = 400L
        private const val MAX_DEADLINE_MILLISECONDS = 2_500L
    }
}
