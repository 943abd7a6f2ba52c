/** Checks a configuration before it is sent. Exit code 0: nothing found; 1: findings; 2: something cannot be read. */
package org.mulberrypin.command

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.isNestedTooDeeply
import org.mulberrypin.runtime.settings.isAddress
import org.mulberrypin.runtime.then
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

internal val configurationCheckCommand: Command =
    command(
        "configuration check",
        "Reports errors, entries without effect, contradictions and changes of a configuration before it is sent.",
        ::CheckConfigurationOptions,
        ::runConfigurationCheck,
    )

private fun runConfigurationCheck(
    options: CheckConfigurationOptions,
    console: Console,
): ExitCode =
    when (val checked = readDocument(options.file).then { check(it, options) }) {
        is Outcome.Failure -> {
            reportUsageError(console, checked.fault.toString())
        }

        is Outcome.Success -> {
            if (options.asJson) printJson(checked.value, console) else printWords(checked.value, console)
            if (checked.value.findings.isEmpty()) ExitCode.SUCCESS else ExitCode.FAILED
        }
    }

private fun check(
    document: Document,
    options: CheckConfigurationOptions,
): Outcome<ConfigurationCheck> =
    if (PATCH_FIELD in document.root) {
        checkPatchDocument(document, inForceReader(options))
    } else {
        val inForce = if (options.inForce.isEmpty()) Outcome.Success(null) else readDocument(options.inForce)
        inForce.then { checkDeploymentDocument(document, it) }
    }

/** Reads the version in force of the product's own interface: from a file, or from an instance. */
private fun inForceReader(options: CheckConfigurationOptions): InForceReader? =
    when {
        options.inForce.isEmpty() -> null
        isAddress(options.inForce) -> { -> readFromInstance(options) }
        else -> { -> readDocument(options.inForce).then { parseConfiguration(it.text, it.source) } }
    }

private fun readFromInstance(options: CheckConfigurationOptions) =
    readText(options.keyFile).then { key -> operatorClient(options.inForce, key.trim()).configuration() }

private fun readDocument(file: String): Outcome<Document> =
    readText(file).then { text ->
        val root = parseObject(text)
        if (root == null) unreadable(file, "expected a JSON object") else Outcome.Success(Document(file, text, root))
    }

private fun readText(file: String): Outcome<String> =
    try {
        Outcome.Success(Files.readString(Path.of(file)))
    } catch (failure: IOException) {
        unreadable(file, "cannot be read: $failure")
    }

private fun parseObject(text: String): JsonObject? =
    try {
        if (isNestedTooDeeply(text)) null else Json.parseToJsonElement(text) as? JsonObject
    } catch (_: IllegalArgumentException) {
        null
    }

private fun unreadable(
    file: String,
    detail: String,
): Outcome.Failure = Outcome.Failure(Fault("configuration check", file, FaultKind.REFUSED, detail))

private fun printWords(
    check: ConfigurationCheck,
    console: Console,
) {
    check.findings.forEach { finding ->
        val kind = finding.kind.name
            .lowercase()
            .replace('_', ' ')
        console.printLine("$kind: ${finding.place}: ${finding.detail}")
    }
    check.differences?.forEach { difference ->
        console.printLine(
            when {
                difference.before == null -> "added: ${difference.place}: ${difference.after}"
                difference.after == null -> "removed: ${difference.place}: ${difference.before}"
                else -> "changed: ${difference.place}: from ${difference.before} to ${difference.after}"
            },
        )
    }
    val changes = check.differences?.let { ", ${it.size} differences from the version in force" }.orEmpty()
    console.printLine("${check.findings.size} findings$changes")
}

private fun printJson(
    check: ConfigurationCheck,
    console: Console,
) {
    val report = buildJsonObject {
        putJsonArray("findings") {
            check.findings.forEach { finding ->
                addJsonObject {
                    put("kind", finding.kind.name)
                    put("place", finding.place)
                    put("detail", finding.detail)
                }
            }
        }
        check.differences?.let { differences ->
            putJsonArray("differences") {
                differences.forEach { difference ->
                    addJsonObject {
                        put("place", difference.place)
                        put("before", difference.before?.let(::JsonPrimitive) ?: JsonPrimitive(null as String?))
                        put("after", difference.after?.let(::JsonPrimitive) ?: JsonPrimitive(null as String?))
                    }
                }
            }
        }
    }
    console.printLine(report.toString())
}

private const val PATCH_FIELD = "expected_version"
