package org.mulberrypin.decisions.explanations

import org.mulberrypin.decisions.surveys.PeerAddress
import org.mulberrypin.schema.generated.Explanation

/** An input of [decideExplanations]. */
public sealed interface ExplanationEvent {
    /** A component of this instance has recorded the explanation of a decision. */
    public data class Recorded(
        val explanation: Explanation,
    ) : ExplanationEvent

    /**
     * A query arrived from an operator, a caller or a peer.
     *
     * @property queryNumber number of the query, unique in this process
     * @property includePeers true to include the records of the peers; false for a query of a peer
     */
    public data class QueryReceived(
        val queryNumber: Long,
        val query: ExplanationQuery,
        val includePeers: Boolean,
    ) : ExplanationEvent

    /** A peer answered a query. */
    public data class PeerAnswered(
        val queryNumber: Long,
        val peer: String,
        val explanations: List<Explanation>,
    ) : ExplanationEvent

    /** A peer could not be reached. */
    public data class PeerFailed(
        val queryNumber: Long,
        val peer: String,
    ) : ExplanationEvent

    /** The list of the other instances changed. */
    public data class PeersChanged(
        val peers: List<PeerAddress>,
    ) : ExplanationEvent

    /** Periodic event that ends queries whose deadline has passed. */
    public data object Tick : ExplanationEvent
}
