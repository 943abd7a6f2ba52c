package org.mulberrypin.decisions.explanations

import org.mulberrypin.decisions.surveys.PeerAddress
import org.mulberrypin.schema.generated.Explanation

/** An action that the explanation thread performs for [decideExplanations]. */
public sealed interface ExplanationEffect {
    /** Query a peer for the records that it stores. */
    public data class QueryPeer(
        val queryNumber: Long,
        val peer: PeerAddress,
        val query: ExplanationQuery,
    ) : ExplanationEffect

    /**
     * Send the result of a query to its author.
     *
     * @property missing names of the instances that could not be reached or did not answer in time
     */
    public data class Answer(
        val queryNumber: Long,
        val explanations: List<Explanation>,
        val missing: List<String>,
    ) : ExplanationEffect

    /** Refuse a query because too many queries are waiting for peers. */
    public data class Refuse(
        val queryNumber: Long,
    ) : ExplanationEffect
}
