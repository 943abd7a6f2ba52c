/**
 * Parses an INI file into entries. The INI library does not provide the line numbers of keys, so they are looked up in
 * the text afterwards.
 */
package org.mulberrypin.runtime.settings

import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException
import org.apache.commons.configuration2.tree.ImmutableNode
import java.io.StringReader

/** The entries of a settings file and the locations of its section headers. */
internal data class ParsedSettingsFile(
    val sections: List<SettingsLocation>,
    val entries: List<SettingsEntry>,
)

/** Parses [text]; throws [ConfigurationException] if it is not a valid INI file. [file] is used for locations only. */
internal fun parseSettingsFile(
    file: String,
    text: String,
): ParsedSettingsFile {
    val configuration = INIConfiguration()
    configuration.read(StringReader(text))
    val (sections, keysOutsideSections) = configuration.nodeModel.nodeHandler.rootNode.children
        .partition { node -> node.value == null }
    val lines = settingsLines(text)
    val outsideEntries = locatedEntries(file, section = "", keysOutsideSections, lines)
    val sectionEntries = sections.flatMap { node -> locatedEntries(file, node.nodeName, node.children, lines) }
    return ParsedSettingsFile(
        sections = sections.map { node -> SettingsLocation(file, lines.headerLine(node.nodeName), node.nodeName, "") },
        entries = outsideEntries + sectionEntries,
    )
}

private fun locatedEntries(
    file: String,
    section: String,
    nodes: List<ImmutableNode>,
    lines: SettingsLines,
): List<SettingsEntry> =
    nodes.groupBy(ImmutableNode::getNodeName).flatMap { (key, sameKey) ->
        val keyLines = lines.keyLines(SettingsKey(section, key))
        sameKey.mapIndexed { position, node ->
            val location = SettingsLocation(file, keyLines.getOrElse(position) { 0 }, section, key)
            SettingsEntry(location, node.value?.toString().orEmpty())
        }
    }
