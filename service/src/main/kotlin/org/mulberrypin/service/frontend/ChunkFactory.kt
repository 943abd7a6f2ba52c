package org.mulberrypin.service.frontend

import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.ChatMessage
import org.mulberrypin.schema.generated.CompletionChoice
import org.mulberrypin.schema.generated.CompletionChunk
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.CompletionUsage

/**
 * Makes the chunks of one answer.
 *
 * @property name the request's identifier
 */
internal class ChunkFactory(
    val name: String,
    private val content: CompletionRequest,
) {
    private val isChat = content.messages.isNotEmpty()

    fun part(reply: RequestReply.Part): CompletionChunk {
        val choice =
            if (isChat) {
                CompletionChoice(delta = ChatMessage("assistant", reply.text), tokens = reply.tokens)
            } else {
                CompletionChoice(text = reply.text, tokens = reply.tokens)
            }
        return chunk(streamObject(), choice, reply.weightVersion, usage = null)
    }

    fun last(reply: RequestReply.Finished): CompletionChunk {
        val choice = CompletionChoice(finishReason = reply.finishReason)
        return chunk(streamObject(), choice, lastVersion(reply), usageOf(reply))
    }

    fun whole(
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
        return chunk(wholeObject(), choice, lastVersion(reply), usageOf(reply))
    }

    private fun chunk(
        kind: String,
        choice: CompletionChoice,
        weightVersion: Long,
        usage: CompletionUsage?,
    ): CompletionChunk =
        CompletionChunk(
            id = name,
            `object` = kind,
            model = content.model,
            choices = listOf(choice),
            usage = usage,
            weightVersion = weightVersion,
        )

    private fun streamObject(): String = if (isChat) "chat.completion.chunk" else "text_completion"

    private fun wholeObject(): String = if (isChat) "chat.completion" else "text_completion"

    private fun lastVersion(reply: RequestReply.Finished): Long = reply.spans.lastOrNull()?.weightVersion ?: 0

    private fun usageOf(reply: RequestReply.Finished): CompletionUsage {
        val generated = reply.spans.sumOf { it.tokens }
        return CompletionUsage(reply.promptTokens, generated, reply.promptTokens + generated)
    }
}
