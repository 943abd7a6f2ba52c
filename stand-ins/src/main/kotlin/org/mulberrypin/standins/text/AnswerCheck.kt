/** Checks whether a text is the whole answer to a prompt. */
package org.mulberrypin.standins.text

/** What a text turned out to be. */
public enum class AnswerCheck {
    /** The whole answer to the prompt. */
    COMPLETE,

    /** An answer to another prompt, or to the same one under another seed than stated. */
    MISMATCHED,

    /** Longer than the whole answer, so that a part of it arrived twice. */
    DUPLICATED,

    /** Cut short or changed on the way. */
    CORRUPTED,
}

/**
 * Checks [text] against the answer to [prompt].
 *
 * @param seed the seed of the request, or null when another process chose it
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

/** Says where [text] leaves the whole answer to [prompt] that begins with the same seed. */
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
        ?.toLong() ?: return "no seed in front of '${text.take(SHOWN_CHARACTERS)}'"
    val expected = generatedAnswer(prompt, seed, maxTokens).text.split(' ')
    val same = words.zip(expected).takeWhile { (found, whole) -> found == whole }.size
    val found = words.drop(same).take(SHOWN_WORDS)
    return "$same of ${expected.size} tokens as expected, ${words.size} in all, then $found " +
        "instead of ${expected.drop(same).take(SHOWN_WORDS)}"
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
