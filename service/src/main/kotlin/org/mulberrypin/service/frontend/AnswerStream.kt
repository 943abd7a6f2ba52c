/**
 * Writes the answer of a completion to its caller. A streamed answer that cannot be completed ends with an error event
 * and a reset, never with the end mark, so that the caller sees that it was cut.
 */
package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.stream.AbortedStreamException
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.CompletionChunk
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.ErrorAnswer
import org.mulberrypin.schema.generated.ErrorDetail
import java.util.concurrent.CompletableFuture

/**
 * The answer to one caller.
 *
 * @property response completed with the HTTP response once its status is known
 * @property accept takes the replies in their order, from one thread
 */
internal data class AnswerStream(
    val response: CompletableFuture<HttpResponse>,
    val accept: (RequestReply) -> Unit,
)

/** Creates the answer for a request, streamed if the caller asked for that. */
internal fun answerStream(
    name: String,
    content: CompletionRequest,
): AnswerStream {
    val chunks = ChunkFactory(name, content)
    val response = CompletableFuture<HttpResponse>()
    val accept =
        if (content.stream) StreamedAnswer(chunks, response)::accept else WholeAnswer(chunks, response)::accept
    return AnswerStream(response, accept)
}

private class StreamedAnswer(
    private val chunks: ChunkFactory,
    private val response: CompletableFuture<HttpResponse>,
) {
    private var writer: HttpResponseWriter? = null

    fun accept(reply: RequestReply) {
        when (reply) {
            is RequestReply.Part -> {
                write(chunks.part(reply))
            }

            is RequestReply.Finished -> {
                end(reply)
            }

            is RequestReply.NotRun -> {
                fail(refusalDetail(reply)) { refusalResponse(reply).toHttpResponse() }
            }

            is RequestReply.MayHaveRun -> {
                fail(failureDetail(reply)) { failureResponse(reply).toHttpResponse() }
            }
        }
    }

    private fun write(chunk: CompletionChunk) {
        writeEvent(begun(), wireJson.encodeToString(CompletionChunk.serializer(), chunk))
    }

    private fun end(reply: RequestReply.Finished) {
        write(chunks.last(reply))
        val open = begun()
        writeEvent(open, END_MARK)
        open.close()
    }

    private fun fail(
        detail: ErrorDetail,
        wholeResponse: () -> HttpResponse,
    ) {
        val open = writer
        if (open == null) {
            response.complete(wholeResponse())
        } else {
            writeEvent(open, wireJson.encodeToString(ErrorAnswer.serializer(), ErrorAnswer(detail)))
            open.close(AbortedStreamException.get())
        }
    }

    private fun begun(): HttpResponseWriter = writer ?: begin().also { writer = it }

    private fun begin(): HttpResponseWriter {
        val opened = HttpResponse.streaming()
        val headers =
            ResponseHeaders
                .builder(HttpStatus.OK)
                .contentType(MediaType.EVENT_STREAM)
                .add(HttpHeaderNames.CACHE_CONTROL, "no-cache")
                .add(REQUEST_ID_HEADER, chunks.name)
        opened.tryWrite(headers.build())
        response.complete(opened)
        return opened
    }

    private fun writeEvent(
        open: HttpResponseWriter,
        data: String,
    ) {
        open.tryWrite(HttpData.ofUtf8("data: $data\n\n"))
    }

    private companion object {
        private const val END_MARK = "[DONE]"
    }
}

private class WholeAnswer(
    private val chunks: ChunkFactory,
    private val response: CompletableFuture<HttpResponse>,
) {
    private val text = StringBuilder()

    fun accept(reply: RequestReply) {
        when (reply) {
            is RequestReply.Part -> text.append(reply.text)
            is RequestReply.Finished -> response.complete(whole(reply))
            is RequestReply.NotRun -> response.complete(refusalResponse(reply).toHttpResponse())
            is RequestReply.MayHaveRun -> response.complete(failureResponse(reply).toHttpResponse())
        }
    }

    private fun whole(reply: RequestReply.Finished): HttpResponse {
        val body = wireJson.encodeToString(CompletionChunk.serializer(), chunks.whole(reply, text.toString()))
        val headers = ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON)
        return HttpResponse.of(headers.add(REQUEST_ID_HEADER, chunks.name).build(), HttpData.ofUtf8(body))
    }
}
