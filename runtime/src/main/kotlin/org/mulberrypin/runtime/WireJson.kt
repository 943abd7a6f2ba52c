/**
 * The JSON encoding of all HTTP interfaces. Names are in snake case, as in the common completion APIs. Unknown fields
 * are ignored so that different versions of the program can run side by side.
 */
package org.mulberrypin.runtime

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
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

/** Encodes [message] as JSON that UTF-8 can carry, even if one of its texts ends between the halves of a character. */
public fun <Message> encodeWireJson(
    serializer: SerializationStrategy<Message>,
    message: Message,
): String = escapeUnpairedSurrogates(wireJson.encodeToString(serializer, message))

/** Decodes [bytes] as [parseWireJson] decodes a text; bytes that are not UTF-8 yield the same kind of fault. */
public fun <Message> parseWireJson(
    bytes: ByteArray,
    deserializer: DeserializationStrategy<Message>,
    step: String,
    peer: String,
): Outcome<Message> {
    val text = bytes.decodeUtf8OrNull()
        ?: return Outcome.Failure(Fault(step, peer, FaultKind.REFUSED, "expected JSON in UTF-8, found other bytes"))
    return parseWireJson(text, deserializer, step, peer)
}

/**
 * Decodes [text] as a message of the schema; returns a fault of kind [FaultKind.REFUSED] if that is not possible.
 *
 * @param step the operation that the fault reports as failed
 * @param peer the sender of [text], which the fault reports as the peer
 */
public fun <Message> parseWireJson(
    text: String,
    deserializer: DeserializationStrategy<Message>,
    step: String,
    peer: String,
): Outcome<Message> {
    val found = if (isNestedTooDeeply(text)) {
        "more than $MAX_JSON_NESTING nested levels"
    } else {
        try {
            return Outcome.Success(wireJson.decodeFromString(deserializer, text))
        } catch (failure: SerializationException) {
            failure.message
                ?.lineSequence()
                ?.firstOrNull()
                .orEmpty()
        }
    }
    val expected = deserializer.descriptor.serialName.substringAfterLast('.')
    return Outcome.Failure(Fault(step, peer, FaultKind.REFUSED, "expected $expected as JSON, found: $found"))
}
