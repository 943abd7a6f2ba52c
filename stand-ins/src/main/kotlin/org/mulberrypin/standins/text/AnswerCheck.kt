/** Verifies that a text is the complete answer to a prompt. */
package org.mulberrypin.standins.text

/** Result of the verification of a text. */
public enum class AnswerCheck {
    /** The complete answer to the prompt. */
    COMPLETE,

    /** The answer to another prompt, or to the same prompt with another seed. */
    MISMATCHED,

    /** More tokens than the complete answer, so a part was delivered twice. */
    DUPLICATED,

    /** Truncated or altered. */
    CORRUPTED,
}

/**
 * Verifies that [text] is the complete answer to [prompt].
 *
 * @param seed the seed of the request, or null if it is unknown; then the seed in [text] is used
 */
public fun checkAnswer(
    prompt: String,
    text: String,
    maxTokens: Int?,
    seed: Long? = null,
): AnswerCheck {
    val words = text.split(' ')
    val foundSeed = words
        .first()
        .removePrefix(SEED_MARK)
        .toULongOrNull(RADIX)
        ?.toLong()
    val foundPrompt = words.getOrNull(1)?.removePrefix(PROMPT_MARK)
    val expectedPrompt = promptDigest(prompt).toULong().toString(RADIX)
    return when {
        foundSeed == null -> AnswerCheck.CORRUPTED
        seed != null && seed != foundSeed -> AnswerCheck.MISMATCHED
        foundPrompt != null && foundPrompt != expectedPrompt -> AnswerCheck.MISMATCHED
        else -> compare(generatedAnswer(prompt, foundSeed, maxTokens), text, words.size)
    }
}

/** Describes where [text] first differs from the complete answer to [prompt] with the seed in [text]. */
internal fun describeDifference(
    prompt: String,
    text: String,
    maxTokens: Int?,
): String {
    val words = text.split(' ')
    val seed = words
        .first()
        .removePrefix(SEED_MARK)
        .toULongOrNull(RADIX)
        ?.toLong() ?: return "no seed at the start of '${text.take(SHOWN_CHARACTERS)}'"
    val expected = generatedAnswer(prompt, seed, maxTokens).text.split(' ')
    val matching = words.zip(expected).takeWhile { (found, token) -> found == token }.size
    val found = words.drop(matching).take(SHOWN_WORDS)
    return "$matching of ${expected.size} tokens match, ${words.size} received; found $found " +
        "but expected ${expected.drop(matching).take(SHOWN_WORDS)}"
}

private fun compare(
    expected: GeneratedAnswer,
    text: String,
    tokens: Int,
): AnswerCheck =
    when {
        expected.text == text -> AnswerCheck.COMPLETE
        tokens > expected.tokens -> AnswerCheck.DUPLICATED
        else -> AnswerCheck.CORRUPTED
    }

private const val SHOWN_WORDS = 4
private const val SHOWN_CHARACTERS = 40
