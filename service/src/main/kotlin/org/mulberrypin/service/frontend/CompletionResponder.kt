/**
 * Writes the response to a completion request. A streamed response that cannot be completed ends with an error event
 * and a stream reset, never with the end marker, so that the caller can detect the truncation.
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
import org.mulberrypin.runtime.encodeWireJson
import org.mulberrypin.schema.generated.CompletionChunk
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.ErrorAnswer
import org.mulberrypin.schema.generated.ErrorDetail
import java.util.concurrent.CompletableFuture

/**
 * Builds the HTTP response to one completion request from the replies to the request.
 *
 * @property response completed with the HTTP response once its status is known
 * @property onReply processes the replies in order; must be called from one thread
 */
internal data class CompletionResponder(
    val response: CompletableFuture<HttpResponse>,
    val onReply: (RequestReply) -> Unit,
)

/** Creates the responder for a request; it streams the response if the caller requested streaming. */
internal fun completionResponder(
    name: String,
    content: CompletionRequest,
): CompletionResponder {
    val chunks = ChunkFactory(name, content)
    val response = CompletableFuture<HttpResponse>()
    val onReply =
        if (content.stream) StreamResponder(chunks, response)::onReply else BufferedResponder(chunks, response)::onReply
    return CompletionResponder(response, onReply)
}

private class StreamResponder(
    private val chunks: ChunkFactory,
    private val response: CompletableFuture<HttpResponse>,
) {
    private var writer: HttpResponseWriter? = null

    fun onReply(reply: RequestReply) {
        when (reply) {
            is RequestReply.Chunk -> {
                write(chunks.textChunk(reply))
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
        writeEvent(openStream(), encodeWireJson(CompletionChunk.serializer(), chunk))
    }

    private fun end(reply: RequestReply.Finished) {
        write(chunks.finalChunk(reply))
        val stream = openStream()
        writeEvent(stream, END_MARKER)
        stream.close()
    }

    private fun fail(
        detail: ErrorDetail,
        errorResponse: () -> HttpResponse,
    ) {
        val stream = writer
        if (stream == null) {
            response.complete(errorResponse())
        } else {
            writeEvent(stream, encodeWireJson(ErrorAnswer.serializer(), ErrorAnswer(detail)))
            stream.close(AbortedStreamException.get())
        }
    }

    private fun openStream(): HttpResponseWriter = writer ?: startStream().also { writer = it }

    private fun startStream(): HttpResponseWriter {
        val opened = HttpResponse.streaming()
        val headers =
            ResponseHeaders
                .builder(HttpStatus.OK)
                .contentType(MediaType.EVENT_STREAM)
                .add(HttpHeaderNames.CACHE_CONTROL, "no-cache")
                .add(REQUEST_ID_HEADER, chunks.requestId)
        opened.tryWrite(headers.build())
        response.complete(opened)
        return opened
    }

    private fun writeEvent(
        stream: HttpResponseWriter,
        data: String,
    ) {
        stream.tryWrite(HttpData.ofUtf8("data: $data\n\n"))
    }

    private companion object {
        private const val END_MARKER = "[DONE]"
    }
}

private class BufferedResponder(
    private val chunks: ChunkFactory,
    private val response: CompletableFuture<HttpResponse>,
) {
    private val text = StringBuilder()

    fun onReply(reply: RequestReply) {
        when (reply) {
            is RequestReply.Chunk -> text.append(reply.text)
            is RequestReply.Finished -> response.complete(completionResponse(reply))
            is RequestReply.NotRun -> response.complete(refusalResponse(reply).toHttpResponse())
            is RequestReply.MayHaveRun -> response.complete(failureResponse(reply).toHttpResponse())
        }
    }

    private fun completionResponse(reply: RequestReply.Finished): HttpResponse {
        val body = encodeWireJson(CompletionChunk.serializer(), chunks.completion(reply, text.toString()))
        val headers = ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON)
        return HttpResponse.of(headers.add(REQUEST_ID_HEADER, chunks.requestId).build(), HttpData.ofUtf8(body))
    }
}
