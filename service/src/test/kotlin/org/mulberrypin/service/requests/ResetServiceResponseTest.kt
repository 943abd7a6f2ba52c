package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.AttemptEnding
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

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
        val server = startScriptedServer { connection ->
            val attempt = connection.readRequest()?.attempt.orEmpty()
            connection.write("HTTP/1.1 200 OK\r\n$attempt\r\npart")
            // The peer reads what was written before the reset discards it.
            Thread.sleep(100)
            if (isReset) connection.reset()
        }
        val ending = CompletableFuture<String>()
        val listener = BackendListener(
            onChunks = { _, _ -> },
            onServiceResponse = { ending.complete(it.contentUtf8()) },
            onFinished = { _, _ -> },
            onFailed = { failure, _ -> ending.complete(failure.name) },
        )
        val call = AggregatedHttpRequest.of(HttpMethod.GET, "/stock")
        client.callService(server.address, call, listener)
        return ending.get(WAIT_SECONDS, TimeUnit.SECONDS).also { server.stop() }
    }

    private companion object {
        private const val WAIT_SECONDS = 20L
    }
}
