package org.mulberrypin.service

/**
 * A running entry instance.
 *
 * @property address where callers, trainers and operators reach it, as host:port
 * @property peerAddress where other instances reach it, as host:port
 * @property drainAndStop admits nothing more, finishes what is under way, and stops
 * @property stop stops at once; requests under way are cut
 */
public data class EntryInstance(
    val address: String,
    val peerAddress: String,
    val drainAndStop: () -> Unit,
    val stop: () -> Unit,
)
