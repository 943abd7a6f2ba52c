package org.mulberrypin.runtime.settings

/**
 * A location in a settings file.
 *
 * @property file name of the file
 * @property line the line number, counted from 1; 0 when no line applies. A missing key is located at the header of its
 * section
 * @property section name of the section; empty for a key before the first section
 * @property key name of the key; empty for the location of a section or of the whole file
 */
public data class SettingsLocation(
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
