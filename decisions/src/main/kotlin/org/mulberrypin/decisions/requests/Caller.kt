package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.KeyRole

/**
 * The authenticated sender of a request, as identified by its API key.
 *
 * @property team the team that the key belongs to
 * @property keyName name of the key in the configuration; never the key itself
 */
public data class Caller(
    val team: String,
    val keyName: String,
    val role: KeyRole,
)
