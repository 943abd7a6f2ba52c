package org.mulberrypin.service.objectives

import org.mulberrypin.decisions.objectives.BurnEvent
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnReport

/** Elements of the objective duty's ring. */
internal sealed interface ObjectiveInput {
    /** An event that needs no response. */
    data class Event(
        val event: BurnEvent,
    ) : ObjectiveInput

    /** A request for a burn report, passed to [onOutcome]; [includePeers] adds the peers' counts. */
    data class Report(
        val includePeers: Boolean,
        val onOutcome: (Outcome<BurnReport>) -> Unit,
    ) : ObjectiveInput

    /** A request for the counts of this instance, passed to [onOutcome]. */
    data class Counts(
        val onOutcome: (Outcome<BurnAnswer>) -> Unit,
    ) : ObjectiveInput
}
