/**
 * Scatter-gather queries that an instance sends to all its peers, and whose responses it collects. A query completes
 * when each peer has responded or failed, or at its deadline; late and duplicate responses are ignored.
 */
package org.mulberrypin.decisions.surveys

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet

/**
 * The queries of an instance that are in progress.
 *
 * @property limit maximum number of queries in progress; callers check [isFull] and refuse further ones
 * @property open queries in progress, by number
 */
public data class PeerQueryTable<Subject, Response>(
    val limit: Int,
    val open: PersistentMap<Long, PeerQuery<Subject, Response>> = persistentMapOf(),
) {
    /** True when the maximum number of queries is in progress. */
    public val isFull: Boolean
        get() = open.size >= limit

    /** Starts a query of [peers], given by name, under an unused [number]; without peers it completes immediately. */
    public fun start(
        number: Long,
        subject: Subject,
        peers: List<String>,
        deadlineMilliseconds: Long,
    ): PeerQueryTransition<Subject, Response> =
        storeOrComplete(number, PeerQuery(subject, peers.toPersistentSet(), deadlineMilliseconds))

    /** Adds the response of [peer]; ignored if the query is complete or the peer has already responded or failed. */
    public fun addResponse(
        number: Long,
        peer: String,
        response: Response,
    ): PeerQueryTransition<Subject, Response> =
        updateIfPending(number, peer) { query -> query.copy(responses = query.responses.add(response)) }

    /** Records that [peer] failed to respond. */
    public fun fail(
        number: Long,
        peer: String,
    ): PeerQueryTransition<Subject, Response> =
        updateIfPending(number, peer) { query -> query.copy(failed = query.failed.add(peer)) }

    /** Completes the queries whose deadline has passed, with the responses received so far. */
    public fun expire(nowMilliseconds: Long): PeerQueryTransition<Subject, Response> {
        val expired = open.filterValues { it.deadlineMilliseconds <= nowMilliseconds }
        val remaining = expired.keys.fold(open) { queries, number -> queries.remove(number) }
        return PeerQueryTransition(copy(open = remaining), expired.map { (number, query) -> resultOf(number, query) })
    }

    private fun updateIfPending(
        number: Long,
        peer: String,
        change: (PeerQuery<Subject, Response>) -> PeerQuery<Subject, Response>,
    ): PeerQueryTransition<Subject, Response> {
        val query = open[number]?.takeIf { peer in it.pendingPeers } ?: return PeerQueryTransition(this)
        return storeOrComplete(number, change(query.copy(pendingPeers = query.pendingPeers.remove(peer))))
    }

    private fun storeOrComplete(
        number: Long,
        query: PeerQuery<Subject, Response>,
    ): PeerQueryTransition<Subject, Response> =
        if (query.pendingPeers.isEmpty()) {
            PeerQueryTransition(copy(open = open.remove(number)), listOf(resultOf(number, query)))
        } else {
            PeerQueryTransition(copy(open = open.put(number, query)))
        }

    private fun resultOf(
        number: Long,
        query: PeerQuery<Subject, Response>,
    ): PeerQueryResult<Subject, Response> =
        PeerQueryResult(number, query.subject, query.responses, query.failed + query.pendingPeers)
}
