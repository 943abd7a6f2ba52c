/** The output of an answer: server-sent events during generation, or one JSON body at the end. */
package org.mulberrypin.standins.engine

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.CompletionChunk
import org.mulberrypin.standins.HttpExchange
import org.mulberrypin.standins.jsonReply
import org.mulberrypin.standins.notRunReply

/**
 * @property part writes consecutive tokens
 * @property finish ends the response of a complete answer
 * @property refuse responds that the request was not run
 * @property disconnect closes the connection before the response has ended
 */
internal data class EngineOutput(
    val part: (EngineEffect.Part) -> Unit,
    val finish: (EngineEffect.Finish) -> Unit,
    val refuse: (reason: String) -> Unit,
    val disconnect: () -> Unit,
)

/** An output that streams tokens as server-sent events. */
internal fun streamedOutput(
    exchange: HttpExchange,
    chunks: ChunkBuilder,
): EngineOutput {
    var openWriter: HttpResponseWriter? = null
    val writer = { openWriter ?: startEventStream(exchange).also { openWriter = it } }
    return EngineOutput(
        part = { part -> writer().write(event(chunks.textChunk(part))) },
        finish = { finish ->
            writer().write(event(chunks.lastChunk(finish)))
            writer().write(HttpData.ofUtf8("data: [DONE]\n\n"))
            writer().close()
        },
        refuse = { reason -> exchange.respond(refusal(reason)) },
        disconnect = exchange.disconnect,
    )
}

/** An output that buffers all tokens and sends one response. */
internal fun bufferedOutput(
    exchange: HttpExchange,
    chunks: ChunkBuilder,
): EngineOutput {
    val parts = mutableListOf<EngineEffect.Part>()
    return EngineOutput(
        part = parts::add,
        finish = { finish ->
            exchange.respond(jsonReply(CompletionChunk.serializer(), chunks.completeResponse(parts, finish)))
        },
        refuse = { reason -> exchange.respond(refusal(reason)) },
        disconnect = exchange.disconnect,
    )
}

private fun startEventStream(exchange: HttpExchange): HttpResponseWriter {
    val writer = HttpResponse.streaming()
    writer.write(ResponseHeaders.of(HttpStatus.OK, "content-type", MediaType.EVENT_STREAM))
    exchange.respond(writer)
    return writer
}

private fun event(chunk: CompletionChunk): HttpData =
    HttpData.ofUtf8("data: ${wireJson.encodeToString(CompletionChunk.serializer(), chunk)}\n\n")

private fun refusal(reason: String): HttpResponse =
    notRunReply(HttpStatus.TOO_MANY_REQUESTS, "completion", reason)
