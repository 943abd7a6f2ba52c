package org.mulberrypin.decisions.objectives

import org.mulberrypin.decisions.surveys.SurveyPeer
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnReport

/** What the duty for the burn report has to carry out. */
public sealed interface BurnEffect {
    /** Ask a peer for its counts. */
    public data class AskPeer(
        val question: Long,
        val peer: SurveyPeer,
    ) : BurnEffect

    /** Answer a peer with the counts of this instance. */
    public data class AnswerCounts(
        val question: Long,
        val answer: BurnAnswer,
    ) : BurnEffect

    /** Answer an operator. */
    public data class AnswerReport(
        val question: Long,
        val report: BurnReport,
    ) : BurnEffect

    /** Refuse an operator, because too many reports are open. */
    public data class Refuse(
        val question: Long,
    ) : BurnEffect
}
