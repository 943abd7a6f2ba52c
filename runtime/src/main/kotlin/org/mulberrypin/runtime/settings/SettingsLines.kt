package org.mulberrypin.runtime.settings

/** The line numbers of the section headers and keys of a settings file, counted from 1. */
internal data class SettingsLines(
    private val headers: Map<String, Int>,
    private val keys: Map<SettingsKey, List<Int>>,
) {
    /** Line of the first header of [section]; 0 if there is none. */
    fun headerLine(section: String): Int = headers[section] ?: 0

    /** Lines that set [key], in ascending order. */
    fun keyLines(key: SettingsKey): List<Int> = keys[key].orEmpty()
}

/** Determines the line numbers of the section headers and keys in [text]. */
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
        .filter { (_, line) -> line.isNotEmpty() && line.first() !in COMMENT_PREFIXES }

private const val COMMENT_PREFIXES = "#;"
