package org.mulberrypin.service.objectives

import org.mulberrypin.decisions.objectives.BurnEvent
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnReport

/** What the duty for objectives takes from its ring. */
internal sealed interface ObjectiveWork {
    /** An event that needs no answer. */
    data class Notice(
        val event: BurnEvent,
    ) : ObjectiveWork

    /** A report whose outcome goes to [onOutcome]. */
    data class Report(
        val everywhere: Boolean,
        val onOutcome: (Outcome<BurnReport>) -> Unit,
    ) : ObjectiveWork

    /** The counts of this instance, which go to [onOutcome]. */
    data class Counts(
        val onOutcome: (Outcome<BurnAnswer>) -> Unit,
    ) : ObjectiveWork
}
