package org.mulberrypin.generator

import com.google.protobuf.Descriptors.Descriptor
import com.google.protobuf.Descriptors.EnumDescriptor
import com.google.protobuf.Descriptors.FieldDescriptor
import com.squareup.kotlinpoet.AnnotationSpec
import com.squareup.kotlinpoet.BOOLEAN
import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.CodeBlock
import com.squareup.kotlinpoet.DOUBLE
import com.squareup.kotlinpoet.FileSpec
import com.squareup.kotlinpoet.FunSpec
import com.squareup.kotlinpoet.INT
import com.squareup.kotlinpoet.KModifier
import com.squareup.kotlinpoet.LIST
import com.squareup.kotlinpoet.LONG
import com.squareup.kotlinpoet.ParameterSpec
import com.squareup.kotlinpoet.ParameterizedTypeName.Companion.parameterizedBy
import com.squareup.kotlinpoet.PropertySpec
import com.squareup.kotlinpoet.STRING
import com.squareup.kotlinpoet.TypeName
import com.squareup.kotlinpoet.TypeSpec

internal const val MESSAGES_PACKAGE = "org.mulberrypin.schema.generated"

private val serializable = ClassName("kotlinx.serialization", "Serializable")
private val protoNumber = ClassName("kotlinx.serialization.protobuf", "ProtoNumber")

/** Generates the file with the data class of [message]. */
internal fun messageFile(message: Commented<Descriptor>): FileSpec {
    val constructor = FunSpec.constructorBuilder()
    val type =
        TypeSpec
            .classBuilder(message.subject.name)
            .addModifiers(KModifier.DATA)
            .addAnnotation(serializable)
            .addKdoc(kdocOf(message.comment))
    message.subject.fields.zip(message.memberComments).forEach { (field, comment) ->
        constructor.addParameter(messageParameter(field))
        type.addProperty(messageProperty(field, comment))
    }
    return generatedFile(message.subject.name, type.primaryConstructor(constructor.build()).build())
}

/** Generates the file with the enum class of [enum]; constants lose the prefix that repeats the name of the enum. */
internal fun enumFile(enum: Commented<EnumDescriptor>): FileSpec {
    val prefix = snakeCase(enum.subject.name).uppercase() + "_"
    val type =
        TypeSpec
            .enumBuilder(enum.subject.name)
            .addAnnotation(serializable)
            .addKdoc(kdocOf(enum.comment))
    enum.subject.values.zip(enum.memberComments).forEach { (value, comment) ->
        val constant =
            TypeSpec
                .anonymousClassBuilder()
                .addAnnotation(numberAnnotation(value.number))
                .addKdoc(kdocOf(comment))
        type.addEnumConstant(value.name.removePrefix(prefix), constant.build())
    }
    return generatedFile(enum.subject.name, type.build())
}

/** Creates a file named [name] in the package of the messages that contains [type]. */
internal fun generatedFile(
    name: String,
    type: TypeSpec,
): FileSpec = FileSpec
    .builder(MESSAGES_PACKAGE, name)
    .indent("    ")
    .addType(type)
    .build()

/** Converts a comment to KDoc without interpreting `%` as a format specifier; an empty comment results in no KDoc. */
internal fun kdocOf(text: String): CodeBlock =
    if (text.isEmpty()) CodeBlock.of("") else CodeBlock.of("%L", text)

/** Converts a field name of the schema to a Kotlin property name. */
internal fun camelCase(snakeCase: String): String =
    snakeCase.split("_").joinToString("") { it.replaceFirstChar(Char::uppercase) }.replaceFirstChar(Char::lowercase)

private fun snakeCase(camelCase: String): String = camelCase.replace(Regex("(?<=[a-z])(?=[A-Z])"), "_")

private fun messageParameter(field: FieldDescriptor): ParameterSpec =
    ParameterSpec.builder(camelCase(field.name), fieldType(field)).defaultValue(fieldDefault(field)).build()

private fun messageProperty(
    field: FieldDescriptor,
    comment: String,
): PropertySpec {
    val name = camelCase(field.name)
    return PropertySpec
        .builder(name, fieldType(field))
        .initializer(name)
        .addAnnotation(numberAnnotation(field.number))
        .addKdoc(kdocOf(comment))
        .build()
}

private fun numberAnnotation(number: Int): AnnotationSpec =
    AnnotationSpec.builder(protoNumber).addMember("%L", number).build()

private fun fieldType(field: FieldDescriptor): TypeName =
    when {
        field.isRepeated -> LIST.parameterizedBy(elementType(field))
        isOptional(field) -> elementType(field).copy(nullable = true)
        else -> elementType(field)
    }

private fun elementType(field: FieldDescriptor): TypeName =
    when (field.type) {
        FieldDescriptor.Type.STRING -> STRING
        FieldDescriptor.Type.INT32 -> INT
        FieldDescriptor.Type.INT64 -> LONG
        FieldDescriptor.Type.DOUBLE -> DOUBLE
        FieldDescriptor.Type.BOOL -> BOOLEAN
        FieldDescriptor.Type.MESSAGE -> ClassName(MESSAGES_PACKAGE, field.messageType.name)
        FieldDescriptor.Type.ENUM -> ClassName(MESSAGES_PACKAGE, field.enumType.name)
        else -> error("${field.fullName}: type ${field.type} is not supported by the generator")
    }

private fun fieldDefault(field: FieldDescriptor): CodeBlock =
    when {
        field.isRepeated -> CodeBlock.of("emptyList()")
        isOptional(field) -> CodeBlock.of("null")
        else -> elementDefault(field)
    }

private fun elementDefault(field: FieldDescriptor): CodeBlock =
    when (field.type) {
        FieldDescriptor.Type.STRING -> CodeBlock.of("%S", "")
        FieldDescriptor.Type.DOUBLE -> CodeBlock.of("0.0")
        FieldDescriptor.Type.BOOL -> CodeBlock.of("false")
        FieldDescriptor.Type.MESSAGE -> CodeBlock.of("%T()", elementType(field))
        FieldDescriptor.Type.ENUM -> enumDefault(field)
        else -> CodeBlock.of("0")
    }

private fun enumDefault(field: FieldDescriptor): CodeBlock {
    val prefix = snakeCase(field.enumType.name).uppercase() + "_"
    val first = field.enumType.values.first()
    return CodeBlock.of("%T.%L", elementType(field), first.name.removePrefix(prefix))
}

private fun isOptional(field: FieldDescriptor): Boolean = field.toProto().proto3Optional
