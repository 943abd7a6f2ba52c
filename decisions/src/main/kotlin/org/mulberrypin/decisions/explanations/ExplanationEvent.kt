package org.mulberrypin.decisions.explanations

import org.mulberrypin.decisions.surveys.SurveyPeer
import org.mulberrypin.schema.generated.Explanation

/** What the decisions about explanations are told. */
public sealed interface ExplanationEvent {
    /** A part of this instance has decided something. */
    public data class Recorded(
        val explanation: Explanation,
    ) : ExplanationEvent

    /**
     * Somebody asks.
     *
     * @property question number that differs between all questions of this process
     * @property everywhere true when the peers shall be asked too; false for a question of a peer
     */
    public data class Asked(
        val question: Long,
        val query: ExplanationQuery,
        val everywhere: Boolean,
    ) : ExplanationEvent

    /** A peer has answered a question. */
    public data class PeerAnswered(
        val question: Long,
        val peer: String,
        val explanations: List<Explanation>,
    ) : ExplanationEvent

    /** A peer could not be asked. */
    public data class PeerFailed(
        val question: Long,
        val peer: String,
    ) : ExplanationEvent

    /** The list of the other instances has changed. */
    public data class PeersChanged(
        val peers: List<SurveyPeer>,
    ) : ExplanationEvent

    /** Time has passed. */
    public data object Tick : ExplanationEvent
}
