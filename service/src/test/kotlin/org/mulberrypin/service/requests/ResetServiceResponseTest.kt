package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.AttemptEnding
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Guards against passing on part of a plain service's response, which had no length and was reset, as the whole. */
internal class ResetServiceResponseTest {
    private val client = armeriaBackendClient()

    @Test
    fun `a response without a length that is reset is cut`() {
        expectThat(callServer(isReset = true)).isEqualTo(AttemptEnding.CUT.name)
    }

    @Test
    fun `a response without a length that ends with its connection is whole`() {
        expectThat(callServer(isReset = false)).isEqualTo("part")
    }

    private fun callServer(isReset: Boolean): String {
        val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
        thread(isDaemon = true) {
            server.accept().use { connection ->
                val input = connection.getInputStream().bufferedReader()
                generateSequence(input::readLine).first { it.isEmpty() }
                connection.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\npart".toByteArray())
                // The peer reads what was written before the reset discards it.
                Thread.sleep(100)
                if (isReset) connection.setSoLinger(true, 0)
            }
        }
        val ending = CompletableFuture<String>()
        val listener = BackendListener(
            onChunks = { _, _ -> },
            onServiceResponse = { ending.complete(it.contentUtf8()) },
            onFinished = { _, _ -> },
            onFailed = { failure, _ -> ending.complete(failure.name) },
        )
        val call = AggregatedHttpRequest.of(HttpMethod.GET, "/stock")
        client.callService("127.0.0.1:${server.localPort}", call, listener)
        return ending.get(WAIT_SECONDS, TimeUnit.SECONDS).also { server.close() }
    }

    private companion object {
        private const val WAIT_SECONDS = 20L
    }
}
