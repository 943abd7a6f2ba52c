package org.mulberrypin.decisions.explanations

import org.mulberrypin.decisions.surveys.SurveyPeer
import org.mulberrypin.schema.generated.Explanation

/** What the duty for explanations has to carry out. */
public sealed interface ExplanationEffect {
    /** Ask a peer for its own records. */
    public data class AskPeer(
        val question: Long,
        val peer: SurveyPeer,
        val query: ExplanationQuery,
    ) : ExplanationEffect

    /**
     * Answer the asker.
     *
     * @property missing names of the instances that did not answer in time
     */
    public data class Answer(
        val question: Long,
        val explanations: List<Explanation>,
        val missing: List<String>,
    ) : ExplanationEffect

    /** Refuse the asker, because too many questions are open. */
    public data class Refuse(
        val question: Long,
    ) : ExplanationEffect
}
