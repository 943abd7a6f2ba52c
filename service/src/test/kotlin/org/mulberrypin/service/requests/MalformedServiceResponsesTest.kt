package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.AttemptEnding
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.PromptGroup
import org.mulberrypin.service.rollouts.httpScorer
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Guards against bytes that are no HTTP response and pass for one at the clients of the own interface. */
internal class MalformedServiceResponsesTest {
    private val client = armeriaBackendClient()
    private val malformed =
        listOf("200 OK\r\nx note: 1", "200 OK\r\nx-note : 1", "200 OK\r\nx-no\u0001te: 1", "200 OK\r\nx-note: \u0000")
    private val withoutStatus = listOf("000 OK", "000", "600 OK")

    @Test
    fun `a malformed response of a plain service is a failed attempt and no crash`() {
        val taken = (malformed + withoutStatus).map { head -> answering(head, "text", ::callService) }
        expectThat(taken.filter { it != AttemptEnding.FAILED.name }).isEmpty()
        expectThat(answering("200 OK", "text", ::callService)).isEqualTo("text")
    }

    @Test
    fun `a malformed response of an engine is a failed attempt and no crash`() {
        val taken = (malformed + withoutStatus).map { head -> answering(head, COMPLETION, ::complete) }
        expectThat(taken.filter { it != AttemptEnding.FAILED.name }).isEmpty()
        expectThat(answering("200 OK", COMPLETION, ::complete)).isEqualTo("answer")
    }

    @Test
    fun `a malformed load report is none`() {
        expectThat((malformed + withoutStatus).map { answering(it, """{"running":1}""", ::fetchLoad) }.toSet())
            .isEqualTo(setOf("null"))
        expectThat(answering("200 OK", """{"running":1}""", ::fetchLoad)).isEqualTo("1")
    }

    @Test
    fun `a malformed response of a scorer is no score`() {
        val scored = malformed.filter { answering(it, """{"score":1.0}""", ::score) != "failed" }
        expectThat(scored).isEmpty()
        expectThat(answering("200 OK", """{"score":1.0}""", ::score)).isEqualTo("scored")
    }

    private fun answering(
        head: String,
        body: String,
        call: (address: String) -> String,
    ): String {
        val server = startScriptedServer { connection ->
            val request = connection.readRequest() ?: return@startScriptedServer
            val length = "content-length: ${body.length}"
            connection.write("HTTP/1.1 $head\r\n${request.attempt}$length\r\n\r\n$body")
            connection.readRequest()
        }
        return call(server.address).also { server.stop() }
    }

    private fun callService(address: String): String =
        outcomeOf { client.callService(address, AggregatedHttpRequest.of(HttpMethod.GET, "/1"), it) }

    private fun complete(address: String): String =
        outcomeOf { client.streamCompletion(address, CompletionRequest(prompt = "one"), it) }

    private fun fetchLoad(address: String): String {
        val running = CompletableFuture<Int?>()
        client.fetchLoad(address) { running.complete(it?.running) }
        return running.get(WAIT_SECONDS, TimeUnit.SECONDS).toString()
    }

    private fun score(address: String): String {
        val outcome = httpScorer(address, timeoutMilliseconds = 5_000)(PromptGroup(), "text")
        return if (outcome is Outcome.Success) "scored" else "failed"
    }

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
        return ending.get(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        private const val WAIT_SECONDS = 20L
        private const val COMPLETION = "data: {\"choices\":[{\"text\":\"answer\",\"tokens\":1}]}\n\ndata: [DONE]\n\n"
    }
}
