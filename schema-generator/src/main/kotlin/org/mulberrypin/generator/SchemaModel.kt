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

/** The schema elements for which code is generated, with their comments from the .proto files. */
internal data class SchemaModel(
    val messages: List<Commented<Descriptor>>,
    val enums: List<Commented<EnumDescriptor>>,
    val services: List<Commented<ServiceDescriptor>>,
    val settingsFiles: List<SettingsFileModel>,
)

/**
 * A descriptor with its comments.
 *
 * @property comment comment of the message, enum or service
 * @property memberComments comments of its fields, values or methods, in the order of their declaration
 */
internal data class Commented<Subject>(
    val subject: Subject,
    val comment: String,
    val memberComments: List<String>,
)

/** Reads the descriptor set at [source], which must include source information because that contains the comments. */
internal fun readSchemaModel(source: File): SchemaModel {
    val files = linkFiles(FileDescriptorSet.parseFrom(source.readBytes(), optionsRegistry(source)))
    val ownFiles = files.filter { it.fullName.startsWith("mulberrypin/") && it.fullName != OPTIONS_FILE }
    val messages = ownFiles.flatMap { file -> file.messageTypes.map { commentedMessage(file, it) } }
    return SchemaModel(
        messages = messages,
        enums = ownFiles.flatMap { file -> file.enumTypes.map { commentedEnum(file, it) } },
        services = ownFiles.flatMap { file -> file.services.map { commentedService(file, it) } },
        settingsFiles = messages.filter { isSettingsFile(it.subject) }.map { settingsFileModel(it, messages) },
    )
}

/** Returns a registry of the field options, which the parser needs to read them from the descriptor set. */
private fun optionsRegistry(source: File): ExtensionRegistry {
    val filesWithoutOptions = linkFiles(FileDescriptorSet.parseFrom(source.readBytes()))
    val options = filesWithoutOptions.first { it.fullName == OPTIONS_FILE }
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

/** Builds the descriptors of the files in [set], which lists each file after its dependencies. */
private fun linkFiles(set: FileDescriptorSet): List<FileDescriptor> {
    val linked = LinkedHashMap<String, FileDescriptor>()
    val descriptorFile = DescriptorProtos.getDescriptor()
    linked[descriptorFile.fullName] = descriptorFile
    set.fileList.filter { it.name !in linked }.forEach { file ->
        val dependencies = file.dependencyList.map(linked::getValue).toTypedArray()
        linked[file.name] = FileDescriptor.buildFrom(file, dependencies)
    }
    return linked.values.toList()
}

/** Returns whether [message] describes a settings file: a message named ...Settings whose fields are all sections. */
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
        message.fields.map { comments[path + listOf(MEMBER_PATH, it.index)].orEmpty() },
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
        enum.values.map { comments[path + listOf(MEMBER_PATH, it.index)].orEmpty() },
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
        service.methods.map { comments[path + listOf(MEMBER_PATH, it.index)].orEmpty() },
    )
}

private fun commentsByPath(file: FileDescriptor): Map<List<Int>, String> =
    file
        .toProto()
        .sourceCodeInfo.locationList
        .associate { it.pathList.toList() to joinLines(it.leadingComments) }

private fun joinLines(comment: String): String = comment.lines().joinToString(" ") { it.trim() }.trim()

// Field numbers in the protobuf descriptor messages; the path of a source location alternates them with indexes.
// The fields of a message, the values of an enum and the methods of a service have the same number.
private const val MESSAGE_PATH = 4
private const val ENUM_PATH = 5
private const val SERVICE_PATH = 6
private const val MEMBER_PATH = 2
