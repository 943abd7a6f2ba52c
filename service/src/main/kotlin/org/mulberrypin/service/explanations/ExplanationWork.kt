package org.mulberrypin.service.explanations

import org.mulberrypin.decisions.explanations.ExplanationEvent
import org.mulberrypin.decisions.explanations.ExplanationQuery
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.ExplanationAnswer

/** What the duty for explanations takes from its ring. */
internal sealed interface ExplanationWork {
    /** An event that needs no answer. */
    data class Notice(
        val event: ExplanationEvent,
    ) : ExplanationWork

    /** A question whose answer goes to [onOutcome]. */
    data class Question(
        val query: ExplanationQuery,
        val everywhere: Boolean,
        val onOutcome: (Outcome<ExplanationAnswer>) -> Unit,
    ) : ExplanationWork
}
