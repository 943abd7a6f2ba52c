/** Applies the checks to both forms of a configuration: a deployment's document, and a patch of the own interface. */
package org.mulberrypin.command

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.mulberrypin.decisions.checks.ConfigurationEntry
import org.mulberrypin.decisions.checks.ConfigurationFinding
import org.mulberrypin.decisions.checks.FindingKind
import org.mulberrypin.decisions.checks.checkConfiguration
import org.mulberrypin.decisions.checks.checkPatch
import org.mulberrypin.decisions.checks.compareConfigurations
import org.mulberrypin.decisions.configuration.applyChanges
import org.mulberrypin.platform.deployment.decodeConfiguration
import org.mulberrypin.platform.deployment.findSkippedEntries
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.then
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.ServingConfiguration
import java.security.MessageDigest

/** Reads the version in force. */
internal typealias InForceReader = () -> Outcome<Configuration>

/** Checks the configuration of a deployment; entries that the service would skip are errors. */
internal fun checkDeploymentDocument(
    document: Document,
    inForce: Document?,
): Outcome<ConfigurationCheck> {
    val skipped = findSkippedEntries(document.text).map {
        ConfigurationFinding(FindingKind.ERROR, it.place, "expected ${it.expected}, found none")
    }
    val configuration = decodeConfiguration(document.text)
    val findings = skipped + configuration?.let(::checkConfiguration).orEmpty()
    val before = inForce?.let { decodeConfiguration(it.text) ?: ServingConfiguration() }
    val after = entriesOf(configuration ?: ServingConfiguration())
    val differences = before?.let { compareConfigurations(entriesOf(it), after) }
    return Outcome.Success(ConfigurationCheck(findings, differences))
}

/** Checks a patch; without a version in force, it is applied to an empty configuration of the expected version. */
internal fun checkPatchDocument(
    document: Document,
    readInForce: InForceReader?,
): Outcome<ConfigurationCheck> =
    parseWireJson(document.text, ConfigurationPatch.serializer(), "patch", document.source).then { patch ->
        val reading = readInForce?.invoke() ?: Outcome.Success(Configuration(version = patch.expectedVersion))
        reading.then { inForce ->
            val changed = entriesOf(applyChanges(inForce, patch))
            val differences = if (readInForce == null) null else compareConfigurations(entriesOf(inForce), changed)
            Outcome.Success(ConfigurationCheck(checkPatch(inForce, patch), differences))
        }
    }

internal fun parseConfiguration(
    text: String,
    source: String,
): Outcome<Configuration> = parseWireJson(text, Configuration.serializer(), "configuration", source)

private fun entriesOf(configuration: ServingConfiguration): List<ConfigurationEntry> =
    entriesOf(wireJson.encodeToJsonElement(ServingConfiguration.serializer(), configuration).jsonObject)

private fun entriesOf(configuration: Configuration): List<ConfigurationEntry> =
    entriesOf(wireJson.encodeToJsonElement(Configuration.serializer(), configuration).jsonObject)

/** Lists become entries by name; single values are entries of their own. The version itself always differs. */
private fun entriesOf(root: JsonObject): List<ConfigurationEntry> =
    (root - "version").flatMap { (field, value) ->
        if (value is JsonArray) {
            value.map { entryOf(field.removeSuffix("s"), it.jsonObject) }
        } else {
            listOf(ConfigurationEntry(field, mapOf("value" to textOf(value))))
        }
    }

private fun entryOf(
    kind: String,
    fields: JsonObject,
): ConfigurationEntry {
    val identifying = if ("name" in fields) listOf("name") else listOf("model", "version")
    val name = identifying.mapNotNull { (fields[it] as? JsonPrimitive)?.content }.joinToString("@")
    return ConfigurationEntry("$kind '$name'", fields.mapValues { (field, value) -> shown(field, value) })
}

/** Keys are secrets, so that only their digests are shown. */
private fun shown(
    field: String,
    value: JsonElement,
): String = if (field == "keys") "digest ${digestOf(value.toString())}" else textOf(value)

private fun textOf(value: JsonElement): String = (value as? JsonPrimitive)?.content ?: value.toString()

private fun digestOf(text: String): String =
    MessageDigest
        .getInstance("SHA-256")
        .digest(text.toByteArray())
        .take(DIGEST_BYTES)
        .joinToString("") { "%02x".format(it) }

private const val DIGEST_BYTES = 6
