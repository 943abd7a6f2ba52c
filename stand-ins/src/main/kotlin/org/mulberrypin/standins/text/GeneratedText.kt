/**
 * The text that engine stand-ins generate, which depends only on prompt, seed and position. The first token encodes the
 * seed and the second one the prompt, so that an answer can be verified by its prompt, without knowledge of its seed.
 */
package org.mulberrypin.standins.text

/** The complete answer to [prompt] with [seed], at most [maxTokens] tokens; null means [DEFAULT_MAX_TOKENS]. */
public fun generatedAnswer(
    prompt: String,
    seed: Long,
    maxTokens: Int?,
): GeneratedAnswer {
    val digest = promptDigest(prompt)
    val unlimited = unlimitedTokens(digest, seed)
    val limit = (maxTokens ?: DEFAULT_MAX_TOKENS).coerceAtLeast(1)
    val tokens = minOf(unlimited, limit)
    val text = generatedSpan(digest, seed, firstPosition = 0, endPosition = tokens)
    return GeneratedAnswer(text, tokens, finishReason = if (unlimited <= limit) "stop" else "length")
}

/** The tokens from [firstPosition] to [endPosition], exclusive, joined into a text. */
internal fun generatedSpan(
    digest: Long,
    seed: Long,
    firstPosition: Int,
    endPosition: Int,
): String = (firstPosition until endPosition).joinToString("") { generatedToken(digest, seed, it) }

private fun generatedToken(
    digest: Long,
    seed: Long,
    position: Int,
): String =
    when (position) {
        SEED_POSITION -> SEED_MARK + seed.toULong().toString(RADIX)
        PROMPT_POSITION -> " $PROMPT_MARK" + digest.toULong().toString(RADIX)
        else -> " " + (mix(digest xor mix(seed + position)).toULong() % VOCABULARY_SIZE).toString(RADIX)
    }

/** Token count of an unlimited answer; one in [LONG_ANSWER_RATIO] answers is [LONG_ANSWER_FACTOR] times as long. */
internal fun unlimitedTokens(
    digest: Long,
    seed: Long,
): Int {
    val random = mix(digest xor mix(seed.inv())).toULong()
    val length = MINIMUM_TOKENS + (random % TOKEN_RANGE).toInt()
    val isLong = (random shr LONG_ANSWER_SHIFT) % LONG_ANSWER_RATIO == 0uL
    return if (isLong) length * LONG_ANSWER_FACTOR else length
}

/** 64-bit FNV-1a hash of a prompt, with mixed bits; collisions are very unlikely. */
internal fun promptDigest(prompt: String): Long =
    prompt.fold(FNV_OFFSET) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME }.let(::mix)

/** The bit mixer of SplitMix64: each bit of [value] affects all bits of the result. */
internal fun mix(value: Long): Long {
    val first = (value xor (value ushr FIRST_SHIFT)) * FIRST_FACTOR
    val second = (first xor (first ushr SECOND_SHIFT)) * SECOND_FACTOR
    return second xor (second ushr LAST_SHIFT)
}

/** Maximum number of tokens of an answer to a request without a limit. */
public const val DEFAULT_MAX_TOKENS: Int = 256

internal const val SEED_MARK = "~"
internal const val PROMPT_MARK = "@"
internal const val RADIX = 36
private const val SEED_POSITION = 0
private const val PROMPT_POSITION = 1
private const val VOCABULARY_SIZE = 1_679_616uL
private const val MINIMUM_TOKENS = 24
private const val TOKEN_RANGE = 104uL
private const val LONG_ANSWER_SHIFT = 32
private const val LONG_ANSWER_RATIO = 16uL
private const val LONG_ANSWER_FACTOR = 6
private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val FIRST_SHIFT = 30
private const val FIRST_FACTOR = -0x40a7b892e31b1a47L
private const val SECOND_SHIFT = 27
private const val SECOND_FACTOR = -0x6b2fb644ecceee15L
private const val LAST_SHIFT = 31
