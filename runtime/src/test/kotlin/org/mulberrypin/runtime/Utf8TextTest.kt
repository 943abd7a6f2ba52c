package org.mulberrypin.runtime

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Guards against text that is cut within a character or decoded with other characters. */
internal class Utf8TextTest {
    private val text = "a\u00e9\u20ac\uD83C\uDF32\uD83C\uDF32b\uD83C\uDF32"

    @Test
    fun `pieces of any length end with a character and make up the text`() {
        for (length in 2..text.length + 1) {
            val pieces = text.chunkedByCharacters(length)
            expectThat(pieces.joinToString("") { it.toByteArray().decodeToString() }).isEqualTo(text)
            expectThat(pieces).all { get { this.length }.isLessThanOrEqualTo(length) }
        }
    }

    @Test
    fun `a shortened text ends with a character`() {
        for (length in 0..text.length + 1) {
            val beginning = text.takeCharacters(length)
            expectThat(beginning.toByteArray().decodeToString()).isEqualTo(beginning)
            expectThat(text.startsWith(beginning)).isEqualTo(true)
        }
    }

    @Test
    fun `bytes that are not UTF-8 are no text`() {
        expectThat(text.toByteArray().decodeUtf8OrNull()).isEqualTo(text)
        expectThat("\uFFFD".toByteArray().decodeUtf8OrNull()).isEqualTo("\uFFFD")
        expectThat("caf\u00e9".toByteArray(Charsets.ISO_8859_1).decodeUtf8OrNull()).isEqualTo(null)
        expectThat(text.toByteArray().copyOf(text.toByteArray().size - 1).decodeUtf8OrNull()).isEqualTo(null)
    }

    @Test
    fun `only halves of characters that stand alone are escaped`() {
        expectThat(escapeUnpairedSurrogates(text)).isEqualTo(text)
        expectThat(escapeUnpairedSurrogates("\uDF32a\uD83C")).isEqualTo("\\udf32a\\ud83c")
        expectThat(escapeUnpairedSurrogates("\uD83C\uD83C\uDF32")).isEqualTo("\\ud83c\uD83C\uDF32")
    }
}
