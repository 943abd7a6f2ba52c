package org.mulberrypin.runtime.settings

/**
 * A place in a settings file.
 *
 * @property line the line, counted from 1; 0 when the fault is at no line of the file. A missing key is placed at
 * the header of its section
 * @property section name of the section; empty outside every section
 * @property key name of the key; empty when the fault concerns the whole section or file
 */
public data class SettingsPlace(
    val file: String,
    val line: Int,
    val section: String,
    val key: String,
) {
    override fun toString(): String =
        listOf(
            if (line > 0) "$file:$line" else file,
            if (section.isEmpty()) "" else "[$section]",
            key,
        ).filter(String::isNotEmpty).joinToString(" ")
}
