/**
 * Generates code from the schema: data classes for messages and settings, gRPC method descriptors, tables of settings
 * keys and the settings reference. It reads the descriptor set written by protoc and runs only in the Maven profile
 * `generate`; its output is committed.
 */
package org.mulberrypin.generator

import java.io.File

private const val ARGUMENT_COUNT = 4

/** Expects the descriptor set, the message and service output folders, and the settings reference file as arguments. */
public fun main(arguments: Array<String>) {
    require(arguments.size == ARGUMENT_COUNT) {
        "expected descriptor set, messages folder, services folder and reference file, found ${arguments.toList()}"
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
