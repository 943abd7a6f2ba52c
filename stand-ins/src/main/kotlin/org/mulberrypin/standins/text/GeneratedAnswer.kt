package org.mulberrypin.standins.text

/**
 * A complete answer.
 *
 * @property finishReason "stop" for an answer that ended within the token limit, "length" for a truncated one
 */
public data class GeneratedAnswer(
    val text: String,
    val tokens: Int,
    val finishReason: String,
)
