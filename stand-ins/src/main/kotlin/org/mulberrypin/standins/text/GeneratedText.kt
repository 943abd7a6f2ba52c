/**
 * The text that engine stand-ins generate: a function of prompt, seed and position only. The first token names the
 * seed and the second one the prompt, so that whoever knows the prompt can check an answer without knowing its seed.
 */
package org.mulberrypin.standins.text

/** The whole answer to [prompt] under [seed], at most [maxTokens] long; null stands for [DEFAULT_MAX_TOKENS]. */
public fun generatedAnswer(
    prompt: String,
    seed: Long,
    maxTokens: Int?,
): GeneratedAnswer {
    val digest = promptDigest(prompt)
    val natural = naturalTokens(digest, seed)
    val limit = (maxTokens ?: DEFAULT_MAX_TOKENS).coerceAtLeast(1)
    val tokens = minOf(natural, limit)
    val text = generatedSpan(digest, seed, firstPosition = 0, endPosition = tokens)
    return GeneratedAnswer(text, tokens, finishReason = if (natural <= limit) "stop" else "length")
}

/** Tokens of [endPosition] - [firstPosition] positions, joined. */
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
        else -> " " + (mix(digest xor mix(seed + position)).toULong() % WORDS).toString(RADIX)
    }

/** Number of tokens after which an answer ends by itself; one in sixteen answers is several times as long. */
internal fun naturalTokens(
    digest: Long,
    seed: Long,
): Int {
    val draw = mix(digest xor mix(seed.inv())).toULong()
    val length = SHORTEST_TOKENS + (draw % LENGTH_SPREAD).toInt()
    val isLong = (draw shr LONG_SHIFT) % LONG_ONE_IN == 0uL
    return if (isLong) length * LONG_FACTOR else length
}

/** Digest of a prompt, different for different prompts with very high probability. */
internal fun promptDigest(prompt: String): Long =
    prompt.fold(FNV_OFFSET) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME }.let(::mix)

/** Spreads the bits of [value] over the whole result. */
internal fun mix(value: Long): Long {
    val first = (value xor (value ushr FIRST_SHIFT)) * FIRST_FACTOR
    val second = (first xor (first ushr SECOND_SHIFT)) * SECOND_FACTOR
    return second xor (second ushr LAST_SHIFT)
}

/** Longest answer, in tokens, to a request that sets no limit. */
public const val DEFAULT_MAX_TOKENS: Int = 256

internal const val SEED_MARK = "~"
internal const val PROMPT_MARK = "@"
internal const val RADIX = 36
private const val SEED_POSITION = 0
private const val PROMPT_POSITION = 1
private const val WORDS = 1_679_616uL
private const val SHORTEST_TOKENS = 24
private const val LENGTH_SPREAD = 104uL
private const val LONG_SHIFT = 32
private const val LONG_ONE_IN = 16uL
private const val LONG_FACTOR = 6
private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val FIRST_SHIFT = 30
private const val FIRST_FACTOR = -0x40a7b892e31b1a47L
private const val SECOND_SHIFT = 27
private const val SECOND_FACTOR = -0x6b2fb644ecceee15L
private const val LAST_SHIFT = 31
