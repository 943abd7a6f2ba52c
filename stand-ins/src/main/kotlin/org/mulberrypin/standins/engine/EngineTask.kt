/** One request to generate an answer, reduced to what the engine stand-in decides by. */
package org.mulberrypin.standins.engine

import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.standins.text.DEFAULT_MAX_TOKENS
import org.mulberrypin.standins.text.generatedSpan
import org.mulberrypin.standins.text.naturalTokens
import org.mulberrypin.standins.text.promptDigest
import org.mulberrypin.standins.text.promptOf
import org.mulberrypin.standins.text.promptTokens

/**
 * @property task number that differs between all tasks of this engine
 * @property digest digest of the prompt
 * @property priority smaller numbers start first
 * @property promptTokens tokens of the prompt
 * @property firstPosition position of the first token to generate; more than 0 when an answer is resumed
 * @property endPosition position after the last token of the whole answer
 * @property finishReason why the answer will end
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
 * Creates the task of [request]. The limit of tokens holds for the whole answer, resumed tokens included. Answers null
 * when the text to resume is not the start of the answer.
 */
internal fun engineTask(
    task: Long,
    request: CompletionRequest,
): EngineTask? {
    val prompt = promptOf(request)
    val digest = promptDigest(prompt)
    val seed = request.seed ?: 0
    val limit = (request.maxTokens ?: DEFAULT_MAX_TOKENS).coerceAtLeast(1)
    val natural = naturalTokens(digest, seed)
    val end = minOf(natural, limit)
    val isStart = request.resumeTokens in 0..end &&
        request.resumeText == generatedSpan(digest, seed, 0, request.resumeTokens)
    if (!isStart) return null
    return EngineTask(
        task = task,
        prompt = prompt,
        digest = digest,
        seed = seed,
        priority = request.priority,
        promptTokens = promptTokens(prompt),
        firstPosition = request.resumeTokens,
        endPosition = end,
        finishReason = if (natural <= limit) "stop" else "length",
    )
}
