package org.mulberrypin.service.frontend

import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.ChatMessage
import org.mulberrypin.schema.generated.CompletionChoice
import org.mulberrypin.schema.generated.CompletionChunk
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.CompletionUsage

/**
 * Creates the chunks of a streamed completion, or the body of a completion that is not streamed.
 *
 * @property requestId identifier of the request, returned to the caller
 */
internal class ChunkFactory(
    val requestId: String,
    private val content: CompletionRequest,
) {
    private val isChat = content.messages.isNotEmpty()

    fun textChunk(reply: RequestReply.Chunk): CompletionChunk {
        val choice =
            if (isChat) {
                CompletionChoice(delta = ChatMessage("assistant", reply.text), tokens = reply.tokens)
            } else {
                CompletionChoice(text = reply.text, tokens = reply.tokens)
            }
        return chunk(streamObjectType(), choice, reply.weightVersion, usage = null)
    }

    fun finalChunk(reply: RequestReply.Finished): CompletionChunk {
        val choice = CompletionChoice(finishReason = reply.finishReason)
        return chunk(streamObjectType(), choice, lastWeightVersion(reply), completionUsage(reply))
    }

    fun completion(
        reply: RequestReply.Finished,
        text: String,
    ): CompletionChunk {
        val tokens = reply.spans.sumOf { it.tokens }.toInt()
        val choice =
            if (isChat) {
                CompletionChoice(
                    message = ChatMessage("assistant", text),
                    finishReason = reply.finishReason,
                    tokens = tokens,
                )
            } else {
                CompletionChoice(text = text, finishReason = reply.finishReason, tokens = tokens)
            }
        return chunk(responseObjectType(), choice, lastWeightVersion(reply), completionUsage(reply))
    }

    private fun chunk(
        objectType: String,
        choice: CompletionChoice,
        weightVersion: Long,
        usage: CompletionUsage?,
    ): CompletionChunk =
        CompletionChunk(
            id = requestId,
            `object` = objectType,
            model = content.model,
            choices = listOf(choice),
            usage = usage,
            weightVersion = weightVersion,
        )

    private fun streamObjectType(): String = if (isChat) "chat.completion.chunk" else "text_completion"

    private fun responseObjectType(): String = if (isChat) "chat.completion" else "text_completion"

    private fun lastWeightVersion(reply: RequestReply.Finished): Long = reply.spans.lastOrNull()?.weightVersion ?: 0

    private fun completionUsage(reply: RequestReply.Finished): CompletionUsage {
        val generated = reply.spans.sumOf { it.tokens }
        return CompletionUsage(reply.promptTokens, generated, reply.promptTokens + generated)
    }
}
