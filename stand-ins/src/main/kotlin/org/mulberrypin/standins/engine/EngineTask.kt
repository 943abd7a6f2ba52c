/** A request to generate an answer, with the values that the engine stand-in schedules it by. */
package org.mulberrypin.standins.engine

import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.standins.text.DEFAULT_MAX_TOKENS
import org.mulberrypin.standins.text.generatedSpan
import org.mulberrypin.standins.text.promptDigest
import org.mulberrypin.standins.text.promptOf
import org.mulberrypin.standins.text.promptTokens
import org.mulberrypin.standins.text.unlimitedTokens

/**
 * @property task number of the task, unique within the engine
 * @property digest hash of the prompt
 * @property priority smaller numbers start first
 * @property promptTokens number of tokens of the prompt
 * @property firstPosition position of the first token to generate; greater than 0 if an answer is resumed
 * @property endPosition position after the last token of the complete answer
 * @property finishReason finish reason of the complete answer: "stop" or "length"
 */
internal data class EngineTask(
    val task: Long,
    val prompt: String,
    val digest: Long,
    val seed: Long,
    val priority: Int,
    val promptTokens: Int,
    val firstPosition: Int,
    val endPosition: Int,
    val finishReason: String,
)

/**
 * Creates the task of [request]. The token limit applies to the complete answer, including resumed tokens. Returns null
 * if the text to resume is not a prefix of the answer.
 */
internal fun engineTask(
    task: Long,
    request: CompletionRequest,
): EngineTask? {
    val prompt = promptOf(request)
    val digest = promptDigest(prompt)
    val seed = request.seed ?: 0
    val limit = (request.maxTokens ?: DEFAULT_MAX_TOKENS).coerceAtLeast(1)
    val unlimited = unlimitedTokens(digest, seed)
    val end = minOf(unlimited, limit)
    val isPrefix = request.resumeTokens in 0..end &&
        request.resumeText == generatedSpan(digest, seed, 0, request.resumeTokens)
    if (!isPrefix) return null
    return EngineTask(
        task = task,
        prompt = prompt,
        digest = digest,
        seed = seed,
        priority = request.priority,
        promptTokens = promptTokens(prompt),
        firstPosition = request.resumeTokens,
        endPosition = end,
        finishReason = if (unlimited <= limit) "stop" else "length",
    )
}
