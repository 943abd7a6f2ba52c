package org.mulberrypin.service

/**
 * A running entry instance.
 *
 * @property address address for callers, trainers and operators, as host:port
 * @property peerAddress address for other instances, as host:port
 * @property drainAndStop stops admitting requests, finishes those in progress, and stops the instance
 * @property stop stops the instance immediately; requests in progress are aborted
 */
public data class EntryInstance(
    val address: String,
    val peerAddress: String,
    val drainAndStop: () -> Unit,
    val stop: () -> Unit,
)
