package org.mulberrypin.generator

import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.Message

/** A kind of settings file and its sections. */
internal data class SettingsFileModel(
    val name: String,
    val help: String,
    val sections: List<SettingsSectionModel>,
)

/** A section of a settings file and its keys. */
internal data class SettingsSectionModel(
    val name: String,
    val help: String,
    val fields: List<SettingsFieldModel>,
)

/** A key of a section and the options that the schema defines for it. */
internal data class SettingsFieldModel(
    val descriptor: FieldDescriptor,
    val unit: String,
    val minimum: String,
    val maximum: String,
    val defaultValue: String,
    val help: String,
    val required: Boolean,
)

/** Returns the model of the settings file that [file] describes; [messages] contains the messages of its sections. */
internal fun settingsFileModel(
    file: Commented<Descriptor>,
    messages: List<Commented<Descriptor>>,
): SettingsFileModel =
    SettingsFileModel(
        name = file.subject.name,
        help = file.comment,
        sections =
            file.subject.fields.map { section ->
                val message = messages.first { it.subject.fullName == section.messageType.fullName }
                SettingsSectionModel(section.name, message.comment, message.subject.fields.map(::settingsFieldModel))
            },
    )

private fun settingsFieldModel(field: FieldDescriptor): SettingsFieldModel {
    val setting =
        field.options.allFields.entries
            .firstOrNull { it.key.isExtension && it.key.name == "setting" }
            ?.value as? Message
    requireNotNull(setting) { "${field.fullName}: expected the field option 'setting', found none" }
    val option = { name: String -> setting.getField(setting.descriptorForType.findFieldByName(name)) }
    return SettingsFieldModel(
        descriptor = field,
        unit = option("unit") as String,
        minimum = option("minimum") as String,
        maximum = option("maximum") as String,
        defaultValue = option("default_value") as String,
        help = option("help") as String,
        required = option("required") as Boolean,
    )
}
