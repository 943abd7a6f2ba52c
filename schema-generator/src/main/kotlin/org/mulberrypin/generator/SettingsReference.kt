package org.mulberrypin.generator

/** Generates the settings reference in Markdown. */
internal fun settingsReference(files: List<SettingsFileModel>): String =
    buildString {
        appendLine("# Settings")
        appendLine()
        appendLine("Generated from `schema/src/main/proto/mulberrypin/settings.proto`; edit that file instead.")
        files.forEach { file ->
            appendLine()
            appendLine("## ${file.name}")
            appendLine()
            appendLine(file.help)
            file.sections.forEach { appendSection(it) }
        }
    }

private fun StringBuilder.appendSection(section: SettingsSectionModel) {
    appendLine()
    appendLine("### [${section.name}]")
    appendLine()
    appendLine(section.help)
    appendLine()
    appendLine("| key | unit | range | default | meaning |")
    appendLine("| --- | --- | --- | --- | --- |")
    section.fields.forEach { field ->
        val bounds = listOf(field.minimum, field.maximum).filter(String::isNotEmpty)
        val default = if (field.required) "required" else field.defaultValue
        val unit = field.unit.replace("|", " or ")
        appendLine("| `${field.descriptor.name}` | $unit | ${bounds.joinToString(" to ")} | $default | ${field.help} |")
    }
}
