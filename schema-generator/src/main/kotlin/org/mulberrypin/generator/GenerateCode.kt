/**
 * Generates the committed code of the schema: data classes for messages and settings, method descriptors for the
 * services between instances, tables of settings keys, and the settings reference. It reads the descriptor set that
 * the protobuf compiler writes and runs only in the `generate` profile of the build.
 */
package org.mulberrypin.generator

import java.io.File

private const val ARGUMENT_COUNT = 4

/** Arguments: descriptor set, folder for messages, folder for services, file for the settings reference. */
public fun main(arguments: Array<String>) {
    require(arguments.size == ARGUMENT_COUNT) {
        "Expected descriptor set, messages folder, services folder and reference file, found ${arguments.toList()}."
    }
    val (descriptorSet, messagesFolder, servicesFolder, referenceFile) = arguments
    val model = readSchemaModel(File(descriptorSet))
    val messages = File(messagesFolder)
    model.messages.map(::messageFile).forEach { it.writeTo(messages) }
    model.enums.map(::enumFile).forEach { it.writeTo(messages) }
    model.settingsFiles.map(::settingsTableFile).forEach { it.writeTo(messages) }
    model.services.map(::serviceFile).forEach { it.writeTo(File(servicesFolder)) }
    File(referenceFile).writeText(settingsReference(model.settingsFiles))
}
