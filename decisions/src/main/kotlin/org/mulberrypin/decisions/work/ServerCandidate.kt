package org.mulberrypin.decisions.work

/**
 * A server that may be chosen, as the estimates see it.
 *
 * @property inFlight requests and tasks of this instance at the server
 * @property isLocal whether the server is in the failure domain of this instance
 */
public data class ServerCandidate(
    val id: String,
    val slots: Int,
    val inFlight: Int,
    val work: ServerWork,
    val isLocal: Boolean,
)
