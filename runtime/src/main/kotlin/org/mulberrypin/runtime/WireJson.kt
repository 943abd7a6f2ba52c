/**
 * The one JSON form that all HTTP interfaces of the project speak: snake case names, as the usual completion
 * interfaces have them, and unknown fields tolerated so that two versions of the program can run side by side.
 */
package org.mulberrypin.runtime

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** JSON as it goes over HTTP. */
public val wireJson: Json =
    Json {
        namingStrategy = JsonNamingStrategy.SnakeCase
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = false
    }

/**
 * Reads [text] as a message of the schema.
 *
 * @param step the step to name in the fault
 * @param peer the peer that sent the text
 */
public fun <Message> parseWireJson(
    text: String,
    message: DeserializationStrategy<Message>,
    step: String,
    peer: String,
): Outcome<Message> =
    try {
        Outcome.Success(wireJson.decodeFromString(message, text))
    } catch (failure: SerializationException) {
        val found = failure.message
            ?.lineSequence()
            ?.firstOrNull()
            .orEmpty()
        val expected = message.descriptor.serialName.substringAfterLast('.')
        Outcome.Failure(Fault(step, peer, FaultKind.REFUSED, "Expected $expected as JSON: $found"))
    }
