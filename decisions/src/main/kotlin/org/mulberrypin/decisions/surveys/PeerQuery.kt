package org.mulberrypin.decisions.surveys

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf

/**
 * A scatter-gather query to several peers, some of which have not responded yet.
 *
 * @property subject context of the query, which is returned with its result
 * @property pendingPeers names of the peers that have neither responded nor failed
 * @property failed names of the peers that failed to respond
 * @property deadlineMilliseconds time at which the query completes with the responses received so far, by the clock of
 *   this process
 */
public data class PeerQuery<Subject, Response>(
    val subject: Subject,
    val pendingPeers: PersistentSet<String>,
    val deadlineMilliseconds: Long,
    val responses: PersistentList<Response> = persistentListOf(),
    val failed: PersistentList<String> = persistentListOf(),
)
