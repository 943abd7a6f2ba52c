package org.mulberrypin.decisions.surveys

/**
 * A peer to which queries are sent.
 *
 * @property address address for requests from other instances, as host:port
 */
public data class PeerAddress(
    val name: String,
    val address: String,
)
