package org.mulberrypin.generator

import com.google.protobuf.Descriptors.MethodDescriptor
import com.google.protobuf.Descriptors.ServiceDescriptor
import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.FileSpec
import com.squareup.kotlinpoet.MemberName
import com.squareup.kotlinpoet.ParameterizedTypeName.Companion.parameterizedBy
import com.squareup.kotlinpoet.PropertySpec
import com.squareup.kotlinpoet.TypeSpec

private const val SERVICES_PACKAGE = "org.mulberrypin.service.generated"

private val methodType = ClassName("io.grpc", "MethodDescriptor")
private val unaryMethod = MemberName("org.mulberrypin.service.peers", "unaryMethod")

/** Generates the file with the gRPC method descriptors of [service]. */
internal fun serviceFile(service: Commented<ServiceDescriptor>): FileSpec {
    val name = "${service.subject.name}Methods"
    val type =
        TypeSpec
            .objectBuilder(name)
            .addKdoc(kdocOf(service.comment))
    type.addProperty(
        PropertySpec
            .builder("SERVICE", String::class)
            .addModifiers(com.squareup.kotlinpoet.KModifier.CONST)
            .addKdoc("Full name of the gRPC service.")
            .initializer("%S", service.subject.fullName)
            .build(),
    )
    service.subject.methods.zip(service.memberComments).forEach { (method, comment) ->
        type.addProperty(methodProperty(method, comment))
    }
    return FileSpec
        .builder(SERVICES_PACKAGE, name)
        .indent("    ")
        .addType(type.build())
        .build()
}

private fun methodProperty(
    method: MethodDescriptor,
    comment: String,
): PropertySpec {
    val request = ClassName(MESSAGES_PACKAGE, method.inputType.name)
    val response = ClassName(MESSAGES_PACKAGE, method.outputType.name)
    return PropertySpec
        .builder(method.name.replaceFirstChar(Char::lowercase), methodType.parameterizedBy(request, response))
        .addKdoc(kdocOf(comment))
        .initializer("%M(SERVICE, %S, %T.serializer(), %T.serializer())", unaryMethod, method.name, request, response)
        .build()
}
