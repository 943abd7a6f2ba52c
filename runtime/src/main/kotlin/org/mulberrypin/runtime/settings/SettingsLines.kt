package org.mulberrypin.runtime.settings

/** On which lines of a text the sections and keys stand, counted from 1. */
internal data class SettingsLines(
    private val headers: Map<String, Int>,
    private val keys: Map<SettingsKey, List<Int>>,
) {
    fun headerLine(section: String): Int = headers[section] ?: 0

    fun keyLines(key: SettingsKey): List<Int> = keys[key].orEmpty()
}

/** Finds the lines of the sections and keys of [text]. */
internal fun settingsLines(text: String): SettingsLines {
    val headers = mutableMapOf<String, Int>()
    val keys = mutableMapOf<SettingsKey, MutableList<Int>>()
    var section = ""
    for ((index, line) in contentLines(text)) {
        if (line.startsWith('[') && line.endsWith(']')) {
            section = line.substring(1, line.length - 1).trim()
            headers.putIfAbsent(section, index + 1)
        } else {
            val key = line.substringBefore('=').substringBefore(':').trim()
            keys.getOrPut(SettingsKey(section, key), ::mutableListOf).add(index + 1)
        }
    }
    return SettingsLines(headers, keys)
}

private fun contentLines(text: String): Sequence<IndexedValue<String>> =
    text
        .lineSequence()
        .map(String::trim)
        .withIndex()
        .filter { (_, line) -> line.isNotEmpty() && line.first() !in COMMENT_STARTS }

private const val COMMENT_STARTS = "#;"
