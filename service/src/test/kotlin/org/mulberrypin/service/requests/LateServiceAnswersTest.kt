package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.AttemptEnding
import org.mulberrypin.schema.generated.CompletionRequest
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Guards against a copy of an answer that is taken for the answer to the next request: the copy arrives on a kept
 * connection after that request was written.
 */
internal class LateServiceAnswersTest {
    private val client = armeriaBackendClient()
    private val server = startScriptedServer(::answerTwice)

    @AfterEach
    fun stop() = server.stop()

    @Test
    fun `a copy of a plain service's answer is not the answer to the next request`() {
        expectThat(listOf(callService("/1"), callService("/2"), callService("/3")))
            .isEqualTo(listOf("answer to /1", AttemptEnding.FAILED.name, "answer to /3"))
        expectThat(server.connections.get()).isEqualTo(2)
    }

    @Test
    fun `a copy of a completion is not the answer to the next request`() {
        expectThat(listOf(complete("one"), complete("two"), complete("three")))
            .isEqualTo(listOf("answer to one", AttemptEnding.FAILED.name, "answer to three"))
        expectThat(server.connections.get()).isEqualTo(2)
    }

    @Test
    fun `a copy of a load report is not the answer to the next request`() {
        expectThat(fetchLoad()).isEqualTo(1)
        expectThat(fetchLoad()).isNull()
        expectThat(fetchLoad()).isEqualTo(1)
    }

    @Test
    fun `an answer that names no request is no answer`() {
        val silent = startScriptedServer { connection ->
            connection.readRequest()
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\npart")
            connection.readRequest()
        }
        expectThat(callService("/1", silent.address)).isEqualTo(AttemptEnding.FAILED.name)
        silent.stop()
    }

    @Test
    fun `a refusal that names another request does not say that this one did not run`() {
        val refusing = startScriptedServer { connection ->
            connection.readRequest()
            val body = """{"error":{"run":"not_run"}}"""
            connection.write("HTTP/1.1 503 Full\r\nx-attempt-id: 1\r\ncontent-length: ${body.length}\r\n\r\n$body")
            connection.readRequest()
        }
        expectThat(callService("/1", refusing.address)).isEqualTo(AttemptEnding.FAILED.name)
        refusing.stop()
    }

    /** Sends the first answer of the first connection again once the next request has arrived. */
    private fun answerTwice(connection: ScriptedConnection) {
        var copied: ScriptedRequest? = null
        while (true) {
            val request = connection.readRequest() ?: return
            copied?.takeIf { connection.number == 1 }?.let { connection.write(answer(it)) }
            connection.write(answer(request))
            copied = request
        }
    }

    private fun answer(request: ScriptedRequest): String {
        val prompt = promptField.find(request.body)?.groupValues?.last()
        val body = when {
            request.path == "/load" -> """{"running":1}"""
            prompt != null -> completion(prompt)
            else -> "answer to ${request.path}"
        }
        return "HTTP/1.1 200 OK\r\n${request.attempt}content-length: ${body.length}\r\n\r\n$body"
    }

    private fun completion(prompt: String) =
        """data: {"choices":[{"text":"answer to $prompt","tokens":1}]}""" + "\n\ndata: [DONE]\n\n"

    private fun callService(
        path: String,
        address: String = server.address,
    ): String = outcomeOf { client.callService(address, AggregatedHttpRequest.of(HttpMethod.GET, path), it) }

    private fun complete(prompt: String): String =
        outcomeOf { client.streamCompletion(server.address, CompletionRequest(prompt = prompt), it) }

    private fun outcomeOf(start: (BackendListener) -> Unit): String {
        val text = StringBuffer()
        val ending = CompletableFuture<String>()
        val listener = BackendListener(
            onChunks = { chunks, requestMore ->
                chunks.forEach { text.append(it.text) }
                requestMore()
            },
            onServiceResponse = { text.append(it.contentUtf8()) },
            onFinished = { _, _ -> ending.complete(text.toString()) },
            onFailed = { failure, _ -> ending.complete(failure.name) },
        )
        start(listener)
        return ending.get(WAIT_SECONDS, TimeUnit.SECONDS).also { awaitKeptConnection() }
    }

    private fun fetchLoad(): Int? {
        val running = CompletableFuture<Int?>()
        client.fetchLoad(server.address) { running.complete(it?.running) }
        return running.get(WAIT_SECONDS, TimeUnit.SECONDS).also { awaitKeptConnection() }
    }

    /** A connection can be used again some time after the end of its response was read. */
    private fun awaitKeptConnection() = Thread.sleep(200)

    private companion object {
        private const val WAIT_SECONDS = 20L
        private val promptField = Regex(""""prompt":"(\w+)"""")
    }
}
