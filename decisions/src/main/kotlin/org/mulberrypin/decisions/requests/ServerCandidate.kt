package org.mulberrypin.decisions.requests

/**
 * A backend server that has room for a request.
 *
 * @property occupancy estimated requests on the server, as a ratio of its slots
 * @property sameFailureDomain true when the server is in the failure domain of this instance
 */
public data class ServerCandidate(
    val state: ServerState,
    val occupancy: Double,
    val sameFailureDomain: Boolean,
)
