/** Bounds the nesting of JSON texts from other processes before they reach a parser, which recurses once per level. */
package org.mulberrypin.runtime

/**
 * Returns true if the arrays and objects of [text] nest deeper than [MAX_JSON_NESTING]. Brackets in strings do not
 * count. The result is unspecified for text that no JSON parser would read beyond the first levels.
 */
public fun isNestedTooDeeply(text: String): Boolean {
    var depth = 0
    var isInString = false
    var index = 0
    while (index < text.length) {
        when (text[index]) {
            '"' -> isInString = !isInString
            '\\' -> if (isInString) index++
            '[', '{' -> if (!isInString && ++depth > MAX_JSON_NESTING) return true
            ']', '}' -> if (!isInString) depth--
        }
        index++
    }
    return false
}

/** Maximum nesting of a JSON text; messages of all interfaces nest less than ten levels deep. */
public const val MAX_JSON_NESTING: Int = 64
