/**
 * Reads the text of an INI file into entries. The library that reads the format does not tell on which line a key
 * stands; the lines are therefore looked up in the text afterwards.
 */
package org.mulberrypin.runtime.settings

import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException
import org.apache.commons.configuration2.tree.ImmutableNode
import java.io.StringReader

/** The keys of a file and the places of its section headers. */
internal data class SettingsText(
    val sections: List<SettingsPlace>,
    val entries: List<SettingsEntry>,
)

/** Reads [text]; throws [ConfigurationException] when it is no INI file. */
internal fun readSettingsText(
    file: String,
    text: String,
): SettingsText {
    val configuration = INIConfiguration()
    configuration.read(StringReader(text))
    val (sections, outside) = configuration.nodeModel.nodeHandler.rootNode.children
        .partition { node -> node.value == null }
    val lines = settingsLines(text)
    val outsideEntries = placedEntries(file, section = "", outside, lines)
    val sectionEntries = sections.flatMap { node -> placedEntries(file, node.nodeName, node.children, lines) }
    return SettingsText(
        sections = sections.map { node -> SettingsPlace(file, lines.headerLine(node.nodeName), node.nodeName, "") },
        entries = outsideEntries + sectionEntries,
    )
}

private fun placedEntries(
    file: String,
    section: String,
    nodes: List<ImmutableNode>,
    lines: SettingsLines,
): List<SettingsEntry> =
    nodes.groupBy(ImmutableNode::getNodeName).flatMap { (key, sameKey) ->
        val found = lines.keyLines(SettingsKey(section, key))
        sameKey.mapIndexed { position, node ->
            val place = SettingsPlace(file, found.getOrElse(position) { 0 }, section, key)
            SettingsEntry(place, node.value?.toString().orEmpty())
        }
    }
