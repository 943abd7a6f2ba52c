package org.mulberrypin.standins.text

/**
 * A whole answer.
 *
 * @property finishReason "stop" for an answer that ended by itself, "length" for one that reached its limit
 */
public data class GeneratedAnswer(
    val text: String,
    val tokens: Int,
    val finishReason: String,
)
