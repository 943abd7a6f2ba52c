/** Where an answer goes: as server-sent events while it is generated, or as one JSON body at its end. */
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
 * @property part takes consecutive tokens
 * @property finish ends a whole answer
 * @property refuse says that the request was not run
 * @property cut closes the connection in the middle of the answer
 */
internal data class EngineOutput(
    val part: (EngineEffect.Part) -> Unit,
    val finish: (EngineEffect.Finish) -> Unit,
    val refuse: (reason: String) -> Unit,
    val cut: () -> Unit,
)

/** An output that streams its parts as server-sent events. */
internal fun streamedOutput(
    exchange: HttpExchange,
    chunks: ChunkForm,
): EngineOutput {
    var opened: HttpResponseWriter? = null
    val writer = { opened ?: openEvents(exchange).also { opened = it } }
    return EngineOutput(
        part = { part -> writer().write(event(chunks.part(part))) },
        finish = { finish ->
            writer().write(event(chunks.end(finish)))
            writer().write(HttpData.ofUtf8("data: [DONE]\n\n"))
            writer().close()
        },
        refuse = { reason -> exchange.respond(refusal(reason)) },
        cut = exchange.cut,
    )
}

/** An output that collects its parts and answers once. */
internal fun wholeOutput(
    exchange: HttpExchange,
    chunks: ChunkForm,
): EngineOutput {
    val parts = mutableListOf<EngineEffect.Part>()
    return EngineOutput(
        part = parts::add,
        finish = { finish -> exchange.respond(jsonReply(CompletionChunk.serializer(), chunks.whole(parts, finish))) },
        refuse = { reason -> exchange.respond(refusal(reason)) },
        cut = exchange.cut,
    )
}

private fun openEvents(exchange: HttpExchange): HttpResponseWriter {
    val writer = HttpResponse.streaming()
    writer.write(ResponseHeaders.of(HttpStatus.OK, "content-type", MediaType.EVENT_STREAM))
    exchange.respond(writer)
    return writer
}

private fun event(chunk: CompletionChunk): HttpData =
    HttpData.ofUtf8("data: ${wireJson.encodeToString(CompletionChunk.serializer(), chunk)}\n\n")

private fun refusal(reason: String): HttpResponse =
    notRunReply(HttpStatus.TOO_MANY_REQUESTS, "completion", reason)
