package org.mulberrypin.decisions.requests

/**
 * A backend server with a free slot for a request.
 *
 * @property occupancy estimated number of requests on the server divided by its slots
 * @property sameFailureDomain true when the server is in the failure domain of this instance
 */
public data class ServerCandidate(
    val state: ServerState,
    val occupancy: Double,
    val sameFailureDomain: Boolean,
)
