/**
 * The JSON encoding of all HTTP interfaces. Names are in snake case, as in common completion APIs. Unknown fields are
 * ignored so that different versions of the program can run side by side.
 */
package org.mulberrypin.runtime

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** The JSON format of HTTP requests and responses. */
public val wireJson: Json =
    Json {
        namingStrategy = JsonNamingStrategy.SnakeCase
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = false
    }

/**
 * Decodes [text] as a message of the schema; returns a fault of kind [FaultKind.REFUSED] if that is not possible.
 *
 * @param step the step that the fault reports
 * @param peer the peer that sent the text, which the fault reports
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
        Outcome.Failure(Fault(step, peer, FaultKind.REFUSED, "expected $expected as JSON, found: $found"))
    }
