/** Builds the response chunks of an answer for either of the two APIs: completions and chat completions. */
package org.mulberrypin.standins.engine

import org.mulberrypin.schema.generated.ChatMessage
import org.mulberrypin.schema.generated.CompletionChoice
import org.mulberrypin.schema.generated.CompletionChunk
import org.mulberrypin.schema.generated.CompletionUsage

/**
 * @property isChat true for chat completions, false for completions
 * @property id identifier of the answer
 * @property model name of the model
 */
internal data class ChunkBuilder(
    val isChat: Boolean,
    val id: String,
    val model: String,
) {
    /** A chunk of a streamed answer. */
    fun textChunk(
        part: EngineEffect.Part,
    ): CompletionChunk = chunk(streamedChoice(part.text, part.tokens), part.weightVersion)

    /** The last chunk of a streamed answer, which carries the finish reason and the usage but no text. */
    fun lastChunk(finish: EngineEffect.Finish): CompletionChunk {
        val choice = streamedChoice(text = "", tokens = 0).copy(finishReason = finish.task.finishReason)
        return chunk(choice, finish.weightVersion).copy(usage = usageOf(finish.task))
    }

    /** The response body of an answer that is not streamed, with the weight version at the end of the answer. */
    fun completeResponse(
        parts: List<EngineEffect.Part>,
        finish: EngineEffect.Finish,
    ): CompletionChunk {
        val text = parts.joinToString("") { it.text }
        val choice = CompletionChoice(
            text = if (isChat) "" else text,
            message = if (isChat) ChatMessage(role = ASSISTANT, content = text) else null,
            finishReason = finish.task.finishReason,
            tokens = parts.sumOf { it.tokens },
        )
        return CompletionChunk(
            id = id,
            `object` = if (isChat) "chat.completion" else "text_completion",
            model = model,
            choices = listOf(choice),
            usage = usageOf(finish.task),
            weightVersion = finish.weightVersion,
        )
    }

    private fun streamedChoice(
        text: String,
        tokens: Int,
    ): CompletionChoice =
        CompletionChoice(
            text = if (isChat) "" else text,
            delta = if (isChat) ChatMessage(role = ASSISTANT, content = text) else null,
            tokens = tokens,
        )

    private fun chunk(
        choice: CompletionChoice,
        weightVersion: Long,
    ): CompletionChunk =
        CompletionChunk(
            id = id,
            `object` = if (isChat) "chat.completion.chunk" else "text_completion",
            model = model,
            choices = listOf(choice),
            weightVersion = weightVersion,
        )

    private fun usageOf(task: EngineTask): CompletionUsage {
        val generated = (task.endPosition - task.firstPosition).toLong()
        val prompt = task.promptTokens.toLong()
        return CompletionUsage(prompt, generated, prompt + generated)
    }

    private companion object {
        private const val ASSISTANT = "assistant"
    }
}
