/**
 * Recognises keys. A key is presented as a bearer token and is known only by its SHA-256 digest: the digest is looked
 * up and then compared in constant time, so that neither the store nor the time of an answer gives a key away.
 */
package org.mulberrypin.service.configuration

import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.Key
import java.security.MessageDigest
import java.util.HexFormat

/** The keys of one configuration by their digests. */
internal data class KeyTable(
    val keys: Map<String, Key>,
)

internal fun keyTableOf(configuration: Configuration): KeyTable = KeyTable(configuration.keys.associateBy { it.sha256 })

/** Finds the caller to whom the key in [authorizationHeader] belongs. */
internal fun findCaller(
    table: KeyTable,
    authorizationHeader: String?,
): Caller? {
    val digest = digestOfBearer(authorizationHeader) ?: return null
    val key = table.keys[digest]?.takeIf { isSameDigest(it.sha256, digest) }
    return key?.let { Caller(it.team, it.name, it.role) }
}

/** True when the key in [authorizationHeader] has the digest [expected]; an empty digest fits no key. */
internal fun isBearerOf(
    authorizationHeader: String?,
    expected: String,
): Boolean {
    val digest = digestOfBearer(authorizationHeader)
    return digest != null && expected.isNotEmpty() && isSameDigest(expected.lowercase(), digest)
}

/** The SHA-256 digest of [text] in hexadecimal. */
internal fun digestOf(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))

private fun digestOfBearer(authorizationHeader: String?): String? =
    authorizationHeader
        ?.takeIf { it.startsWith(BEARER, ignoreCase = true) }
        ?.substring(BEARER.length)
        ?.trim()
        ?.takeIf { it.isNotEmpty() }
        ?.let(::digestOf)

private fun isSameDigest(
    first: String,
    second: String,
): Boolean = MessageDigest.isEqual(first.toByteArray(), second.toByteArray())

private const val BEARER = "Bearer "
