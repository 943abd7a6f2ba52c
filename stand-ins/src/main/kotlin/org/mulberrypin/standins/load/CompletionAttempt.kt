/** Sends one completion request, streamed or not, and verifies the text of the response. */
package org.mulberrypin.standins.load

import com.linecorp.armeria.common.HttpStatus
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.CompletionChunk
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.standins.text.AnswerCheck
import org.mulberrypin.standins.text.checkAnswer
import org.mulberrypin.standins.text.promptOf
import java.io.BufferedReader

/** Sends [request] with the request identifier [name] and verifies the response. */
internal fun attemptCompletion(
    client: EntryClient,
    request: CompletionRequest,
    name: String,
    clock: ServiceClock,
): AttemptResult {
    val body = wireJson.encodeToString(CompletionRequest.serializer(), request)
    val headers = mapOf(REQUEST_ID_HEADER to name)
    return if (request.stream) {
        val startMilliseconds = clock.readMilliseconds()
        client.stream(COMPLETIONS_PATH, body, headers) { status, lines ->
            if (status == HttpStatus.OK) {
                readEvents(request, lines) { clock.readMilliseconds() - startMilliseconds }
            } else {
                parseRefusal(lines.readText())
            }
        }
    } else {
        attemptUnstreamed(client, request, body, headers)
    }
}

private fun attemptUnstreamed(
    client: EntryClient,
    request: CompletionRequest,
    body: String,
    headers: Map<String, String>,
): AttemptResult {
    var failure: AttemptResult = AttemptResult.NoResponse
    val response = client.post(COMPLETIONS_PATH, body, headers) { failure = it } ?: return failure
    if (response.status != HttpStatus.OK) return parseRefusal(response.body)
    val text = readChunk(response.body)
        ?.choices
        ?.firstOrNull()
        ?.text
        .orEmpty()
    return AttemptResult.Answered(check(request, text), firstChunkMilliseconds = 0)
}

private fun readEvents(
    request: CompletionRequest,
    lines: BufferedReader,
    elapsedMilliseconds: () -> Long,
): AttemptResult {
    val text = StringBuilder()
    var firstChunkMilliseconds: Long? = null
    for (line in lines.lineSequence().filter { it.startsWith(EVENT_PREFIX) }) {
        val event = line.removePrefix(EVENT_PREFIX)
        if (event == STREAM_END) {
            return AttemptResult.Answered(check(request, text.toString()), firstChunkMilliseconds ?: 0)
        }
        if (event.startsWith(ERROR_PREFIX)) return parseRefusal(event)
        firstChunkMilliseconds = firstChunkMilliseconds ?: elapsedMilliseconds()
        text.append(
            readChunk(event)
                ?.choices
                ?.firstOrNull()
                ?.text
                .orEmpty(),
        )
    }
    return AttemptResult.NoResponse
}

private fun check(
    request: CompletionRequest,
    text: String,
): AnswerCheck = checkAnswer(promptOf(request), text, request.maxTokens, request.seed)

private fun readChunk(json: String): CompletionChunk? =
    when (val chunk = parseWireJson(json, CompletionChunk.serializer(), "completion", "entry instance")) {
        is Outcome.Success -> chunk.value
        is Outcome.Failure -> null
    }

internal const val REQUEST_ID_HEADER = "x-request-id"
private const val COMPLETIONS_PATH = "/v1/completions"
private const val EVENT_PREFIX = "data: "
private const val STREAM_END = "[DONE]"
private const val ERROR_PREFIX = "{\"error\""
