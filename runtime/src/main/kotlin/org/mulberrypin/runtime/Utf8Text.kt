/** Decoding, splitting and shortening of text without replacing or cutting a character. */
package org.mulberrypin.runtime

/** Decodes these bytes as UTF-8; returns null if they are not valid. */
public fun ByteArray.decodeUtf8OrNull(): String? {
    val text = decodeToString()
    // The strict decoder is slower, so it only runs if the lenient one may have replaced something.
    if (REPLACEMENT_CHARACTER !in text) return text
    return try {
        decodeToString(throwOnInvalidSequence = true)
    } catch (_: CharacterCodingException) {
        null
    }
}

/** Returns the longest beginning of this text that has at most [maxLength] UTF-16 units and ends with a character. */
public fun String.takeCharacters(maxLength: Int): String = take(endOfCharacters(0, maxLength))

/** Splits this text into pieces of at most [maxLength] UTF-16 units, two or more, that each end with a character. */
public fun String.chunkedByCharacters(maxLength: Int): List<String> {
    require(maxLength >= 2) { "expected a maximum length of at least 2, found $maxLength" }
    val pieces = ArrayList<String>(length / maxLength + 1)
    var start = 0
    while (start < length) {
        val end = endOfCharacters(start, maxLength)
        pieces.add(substring(start, end))
        start = end
    }
    return pieces
}

/** Replaces each half of a surrogate pair that stands alone, which UTF-8 cannot encode, by its JSON escape. */
public fun escapeUnpairedSurrogates(json: String): String =
    if (json.none(Char::isSurrogate)) json else unpairedSurrogate.replace(json) { "\\u%04x".format(it.value[0].code) }

private fun String.endOfCharacters(
    start: Int,
    maxLength: Int,
): Int {
    val end = minOf(start + maxLength, length)
    val isWithinPair = end in 1 until length && this[end - 1].isHighSurrogate() && this[end].isLowSurrogate()
    return if (isWithinPair) end - 1 else end
}

private val unpairedSurrogate =
    Regex("[\\uD800-\\uDBFF](?![\\uDC00-\\uDFFF])|(?<![\\uD800-\\uDBFF])[\\uDC00-\\uDFFF]")

private const val REPLACEMENT_CHARACTER = '\uFFFD'
