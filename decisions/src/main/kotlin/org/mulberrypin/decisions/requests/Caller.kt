package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.KeyRole

/**
 * Who sent a request, as its key says. The key itself is not kept.
 *
 * @property keyName the name by which operators know the key
 */
public data class Caller(
    val team: String,
    val keyName: String,
    val role: KeyRole,
)
