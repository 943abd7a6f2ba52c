package org.mulberrypin.generator

import com.google.protobuf.Descriptors.FieldDescriptor
import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.CodeBlock
import com.squareup.kotlinpoet.FileSpec
import com.squareup.kotlinpoet.LIST
import com.squareup.kotlinpoet.ParameterizedTypeName.Companion.parameterizedBy
import com.squareup.kotlinpoet.PropertySpec

private val sectionType = ClassName("org.mulberrypin.schema", "SettingsSection")
private val fieldType = ClassName("org.mulberrypin.schema", "SettingsField")
private val kindType = ClassName("org.mulberrypin.schema", "SettingsFieldKind")

/** Generates the file with the table of the sections and keys of [file]. */
internal fun settingsTableFile(file: SettingsFileModel): FileSpec {
    val name = "${file.name}Sections"
    val sections = CodeBlock.builder().add("listOf(\n⇥")
    file.sections.forEach { sections.add(sectionCode(it)) }
    val property =
        PropertySpec
            .builder(name.replaceFirstChar(Char::lowercase), LIST.parameterizedBy(sectionType))
            .addKdoc("Sections and keys of the settings file that is read into [%L].", file.name)
            .initializer(sections.add("⇤)").build())
    return FileSpec
        .builder(MESSAGES_PACKAGE, name)
        .indent("    ")
        .addProperty(property.build())
        .build()
}

private fun sectionCode(section: SettingsSectionModel): CodeBlock {
    val code = CodeBlock.builder().add("%T(\n⇥%S,\n%S,\nlistOf(\n⇥", sectionType, section.name, section.help)
    section.fields.forEach { code.add(fieldCode(it)) }
    return code.add("⇤),\n⇤),\n").build()
}

private fun fieldCode(field: SettingsFieldModel): CodeBlock =
    CodeBlock
        .builder()
        .add("%T(\n⇥", fieldType)
        .add("%S,\n%S,\n", field.descriptor.name, camelCase(field.descriptor.name))
        .add("%T.%L,\n", kindType, settingsKind(field.descriptor))
        .add("%S,\n%S,\n%S,\n", field.unit, field.minimum, field.maximum)
        .add("%S,\n%S,\n%L,\n", field.defaultValue, field.help, field.required)
        .add("⇤),\n")
        .build()

/** Returns the name of the `SettingsFieldKind` constant for the type of [field]. */
internal fun settingsKind(field: FieldDescriptor): String =
    when (field.type) {
        FieldDescriptor.Type.STRING -> "TEXT"
        FieldDescriptor.Type.INT32 -> "INTEGER"
        FieldDescriptor.Type.INT64 -> "LONG"
        FieldDescriptor.Type.DOUBLE -> "DECIMAL"
        FieldDescriptor.Type.BOOL -> "BOOLEAN"
        else -> error("${field.fullName}: type ${field.type} is not supported in a settings file")
    }
