/**
 * Authenticates callers and operators by API keys, which are sent as bearer tokens. Only SHA-256 digests of keys are
 * stored, and digests are compared in constant time, so that neither the store nor response times reveal a key.
 */
package org.mulberrypin.service.configuration

import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.Key
import java.security.MessageDigest
import java.util.HexFormat

/** The keys of a configuration, indexed by digest: lowercase hexadecimal SHA-256. */
internal data class KeyTable(
    val keys: Map<String, Key>,
)

internal fun indexKeys(configuration: Configuration): KeyTable = KeyTable(configuration.keys.associateBy { it.sha256 })

/** Returns the caller that owns the key in [authorizationHeader], or null if there is no known key. */
internal fun findCaller(
    table: KeyTable,
    authorizationHeader: String?,
): Caller? {
    val digest = bearerDigest(authorizationHeader) ?: return null
    val key = table.keys[digest]?.takeIf { digestsEqual(it.sha256, digest) }
    return key?.let { Caller(it.team, it.name, it.role) }
}

/** True if the key in [authorizationHeader] has the hexadecimal digest [expected]; an empty digest matches no key. */
internal fun hasBearerDigest(
    authorizationHeader: String?,
    expected: String,
): Boolean {
    val digest = bearerDigest(authorizationHeader)
    return digest != null && expected.isNotEmpty() && digestsEqual(expected.lowercase(), digest)
}

/** SHA-256 digest of [text] as lowercase hexadecimal. */
internal fun sha256Hex(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))

private fun bearerDigest(authorizationHeader: String?): String? =
    authorizationHeader
        ?.takeIf { it.startsWith(BEARER_PREFIX, ignoreCase = true) }
        ?.substring(BEARER_PREFIX.length)
        ?.trim()
        ?.takeIf { it.isNotEmpty() }
        ?.let(::sha256Hex)

private fun digestsEqual(
    first: String,
    second: String,
): Boolean = MessageDigest.isEqual(first.toByteArray(), second.toByteArray())

private const val BEARER_PREFIX = "Bearer "
