package org.mulberrypin.standins.engine

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.runtime.manualClock
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.ChatMessage
import org.mulberrypin.schema.generated.CompletionChunk
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.StandInFaults
import org.mulberrypin.standins.text.chatPrompt
import org.mulberrypin.standins.text.generatedAnswer
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isNotNull
import strikt.assertions.last
import strikt.assertions.startsWith

@DisplayName("The engine stand-in")
class EngineStandInTest {
    private val engine = startEngineStandIn(EngineStandInOptions(tokenMilliseconds = 1, poisonText = "poison"))
    private val client = WebClient.of("h1c://${engine.address}")
    private val request = CompletionRequest(prompt = "sort beech from cherry", seed = 7, maxTokens = 40)

    @AfterEach
    fun stop() = engine.stop()

    private fun post(
        path: String,
        request: CompletionRequest,
    ): AggregatedHttpResponse {
        val body = wireJson.encodeToString(CompletionRequest.serializer(), request)
        val http = HttpRequest.of(HttpMethod.POST, path, MediaType.JSON, body)
        return client.execute(http).aggregate().join()
    }

    private fun events(response: AggregatedHttpResponse): List<String> =
        response
            .contentUtf8()
            .split("\n\n")
            .filter { it.isNotEmpty() }
            .map { it.removePrefix("data: ") }

    private fun chunk(json: String): CompletionChunk = wireJson.decodeFromString(CompletionChunk.serializer(), json)

    @Test
    fun `returns the complete text in one response`() {
        val expected = generatedAnswer(request.prompt, seed = 7, maxTokens = 40)
        val answer = chunk(post("/v1/completions", request).contentUtf8())
        expectThat(answer.choices.single().text).isEqualTo(expected.text)
        expectThat(answer.choices.single().finishReason).isEqualTo(expected.finishReason)
        expectThat(answer.usage?.completionTokens).isEqualTo(expected.tokens.toLong())
    }

    @Test
    fun `streams chat chunks that join to the complete text`() {
        val messages = listOf(ChatMessage("user", "how many blanks"))
        val events = events(post("/v1/chat/completions", request.copy(stream = true, messages = messages)))
        expectThat(events).last().isEqualTo("[DONE]")
        val chunks = events.dropLast(1).map(::chunk)
        expectThat(
            chunks.joinToString("") {
                it.choices
                    .single()
                    .delta
                    ?.content
                    .orEmpty()
            },
        ).isEqualTo(generatedAnswer(chatPrompt(messages), seed = 7, maxTokens = 40).text)
        expectThat(chunks.last().usage).isNotNull()
    }

    @Test
    fun `continues an answer from any position`() {
        val complete = generatedAnswer(request.prompt, seed = 7, maxTokens = 40)
        val start = complete.text
            .split(" ")
            .take(9)
            .joinToString(" ")
        val rest = chunk(post("/v1/completions", request.copy(resumeText = start, resumeTokens = 9)).contentUtf8())
        expectThat(start + rest.choices.single().text).isEqualTo(complete.text)
        expectThat(post("/v1/completions", request.copy(resumeText = "x", resumeTokens = 1)).status().code())
            .isEqualTo(400)
    }

    @Test
    fun `logs the requests that it received`() {
        post("/v1/completions", request)
        expectThat(engine.received("cherry").requests).hasSize(1)
        expectThat(engine.received("secret").requests).isEmpty()
    }

    @Test
    fun `crashes on a prompt with the poison text and closes its port`() {
        expectCatching { post("/v1/completions", request.copy(prompt = "a poison b")) }.isFailure()
        expectThat(engine.crashes()).isEqualTo(1)
        expectCatching { post("/v1/completions", request) }.isFailure()
    }

    @Test
    fun `closes the connection before the end of a stream if a fault drops the answer`() {
        engine.faults.set(StandInFaults(loseAnswers = 1))
        expectCatching { post("/v1/completions", request.copy(stream = true)) }.isFailure()
        expectThat(post("/v1/completions", request).contentUtf8()).startsWith("{")
    }

    @Test
    fun `listens on the same port again after a crash if a restart is configured`() {
        val clock = manualClock()
        val options = EngineStandInOptions(tokenMilliseconds = 1, poisonText = "poison", restartMilliseconds = 100)
        val restarting = startEngineStandIn(options, clock.clock)
        val health = {
            WebClient
                .of("h1c://${restarting.address}")
                .get("/health")
                .aggregate()
                .join()
                .status()
                .code()
        }
        restarting.crash()
        expectCatching { health() }.isFailure()
        clock.advance(200)
        // The second call returns after the tick that follows the first one, and that tick reopens the port.
        repeat(2) { restarting.faults.set(StandInFaults()) }
        expectThat(health()).isEqualTo(200)
        restarting.stop()
    }
}
