package org.mulberrypin.decisions.objectives

import org.mulberrypin.decisions.surveys.PeerAddress
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnReport

/** An action that the objective thread performs for [decideBurn]. */
public sealed interface BurnEffect {
    /** Request the counts of a peer. */
    public data class QueryPeer(
        val queryNumber: Long,
        val peer: PeerAddress,
    ) : BurnEffect

    /** Send the counts of this instance to the peer that requested them. */
    public data class AnswerCounts(
        val queryNumber: Long,
        val answer: BurnAnswer,
    ) : BurnEffect

    /** Send a report to the operator that requested it. */
    public data class AnswerReport(
        val queryNumber: Long,
        val report: BurnReport,
    ) : BurnEffect

    /** Refuse a report because too many reports are waiting for peers. */
    public data class Refuse(
        val queryNumber: Long,
    ) : BurnEffect
}
