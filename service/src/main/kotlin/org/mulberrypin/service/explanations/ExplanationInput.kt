package org.mulberrypin.service.explanations

import org.mulberrypin.decisions.explanations.ExplanationEvent
import org.mulberrypin.decisions.explanations.ExplanationQuery
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.ExplanationAnswer

/** Elements of the explanation duty's ring. */
internal sealed interface ExplanationInput {
    /** An event that needs no response. */
    data class Event(
        val event: ExplanationEvent,
    ) : ExplanationInput

    /** A query whose answer is passed to [onOutcome]; it also covers the peers' records if [includePeers] is set. */
    data class Query(
        val query: ExplanationQuery,
        val includePeers: Boolean,
        val onOutcome: (Outcome<ExplanationAnswer>) -> Unit,
    ) : ExplanationInput
}
