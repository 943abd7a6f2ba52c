package org.mulberrypin.generator

import com.google.protobuf.DescriptorProtos
import com.google.protobuf.DescriptorProtos.FileDescriptorSet
import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.Descriptors.EnumDescriptor
import com.google.protobuf.Descriptors.FieldDescriptor
import com.google.protobuf.Descriptors.FileDescriptor
import com.google.protobuf.Descriptors.ServiceDescriptor
import com.google.protobuf.ExtensionRegistry
import java.io.File

internal const val OPTIONS_FILE = "mulberrypin/options.proto"

/** The parts of the schema for which code is generated, with the comments of their sources. */
internal data class SchemaModel(
    val messages: List<Commented<Descriptor>>,
    val enums: List<Commented<EnumDescriptor>>,
    val services: List<Commented<ServiceDescriptor>>,
    val settingsFiles: List<SettingsFileModel>,
)

/** A descriptor, its own comment and the comments of its members in their order. */
internal data class Commented<Subject>(
    val subject: Subject,
    val comment: String,
    val memberComments: List<String>,
)

/** Reads the descriptor set at [source], which must hold the comments of its sources. */
internal fun readSchemaModel(source: File): SchemaModel {
    val files = linkFiles(FileDescriptorSet.parseFrom(source.readBytes(), optionsRegistry(source)))
    val own = files.filter { it.fullName.startsWith("mulberrypin/") && it.fullName != OPTIONS_FILE }
    val messages = own.flatMap { file -> file.messageTypes.map { commentedMessage(file, it) } }
    return SchemaModel(
        messages = messages,
        enums = own.flatMap { file -> file.enumTypes.map { commentedEnum(file, it) } },
        services = own.flatMap { file -> file.services.map { commentedService(file, it) } },
        settingsFiles = messages.filter { isSettingsFile(it.subject) }.map { settingsFileModel(it, messages) },
    )
}

private fun optionsRegistry(source: File): ExtensionRegistry {
    val unextended = linkFiles(FileDescriptorSet.parseFrom(source.readBytes()))
    val options = unextended.first { it.fullName == OPTIONS_FILE }
    val registry = ExtensionRegistry.newInstance()
    options.extensions.forEach { extension ->
        registry.add(
            extension,
            com.google.protobuf.DynamicMessage
                .getDefaultInstance(extension.messageType),
        )
    }
    return registry
}

private fun linkFiles(set: FileDescriptorSet): List<FileDescriptor> {
    val linked = LinkedHashMap<String, FileDescriptor>()
    val compiledIn = DescriptorProtos.getDescriptor()
    linked[compiledIn.fullName] = compiledIn
    set.fileList.filter { it.name !in linked }.forEach { file ->
        val dependencies = file.dependencyList.map(linked::getValue).toTypedArray()
        linked[file.name] = FileDescriptor.buildFrom(file, dependencies)
    }
    return linked.values.toList()
}

private fun isSettingsFile(message: Descriptor): Boolean =
    message.name.endsWith("Settings") &&
        message.fields.isNotEmpty() &&
        message.fields.all { it.type == FieldDescriptor.Type.MESSAGE }

private fun commentedMessage(
    file: FileDescriptor,
    message: Descriptor,
): Commented<Descriptor> {
    val comments = commentsByPath(file)
    val path = listOf(MESSAGE_PATH, message.index)
    return Commented(
        message,
        comments[path].orEmpty(),
        message.fields.map { comments[path + listOf(FIELD_PATH, it.index)].orEmpty() },
    )
}

private fun commentedEnum(
    file: FileDescriptor,
    enum: EnumDescriptor,
): Commented<EnumDescriptor> {
    val comments = commentsByPath(file)
    val path = listOf(ENUM_PATH, enum.index)
    return Commented(
        enum,
        comments[path].orEmpty(),
        enum.values.map { comments[path + listOf(FIELD_PATH, it.index)].orEmpty() },
    )
}

private fun commentedService(
    file: FileDescriptor,
    service: ServiceDescriptor,
): Commented<ServiceDescriptor> {
    val comments = commentsByPath(file)
    val path = listOf(SERVICE_PATH, service.index)
    return Commented(
        service,
        comments[path].orEmpty(),
        service.methods.map { comments[path + listOf(FIELD_PATH, it.index)].orEmpty() },
    )
}

private fun commentsByPath(file: FileDescriptor): Map<List<Int>, String> =
    file
        .toProto()
        .sourceCodeInfo.locationList
        .associate { it.pathList.toList() to oneLine(it.leadingComments) }

private fun oneLine(comment: String): String = comment.lines().joinToString(" ") { it.trim() }.trim()

// Field numbers in the descriptor messages of protobuf, by which source locations are addressed.
private const val MESSAGE_PATH = 4
private const val ENUM_PATH = 5
private const val SERVICE_PATH = 6
private const val FIELD_PATH = 2
