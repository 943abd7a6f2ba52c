package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.KeyRole

/**
 * Who sends a request, as its key tells.
 *
 * @property team the team that the key belongs to
 * @property keyName the name by which operators know the key; never the key itself
 */
public data class Caller(
    val team: String,
    val keyName: String,
    val role: KeyRole,
)
