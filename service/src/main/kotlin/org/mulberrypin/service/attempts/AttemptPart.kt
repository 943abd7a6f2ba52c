package org.mulberrypin.service.attempts

import org.mulberrypin.decisions.attempts.AttemptCompletion
import org.mulberrypin.decisions.attempts.AttemptOutcome
import org.mulberrypin.decisions.attempts.AttemptRequest

/**
 * Operations on the attempt records, which ensure that requests with an idempotency key run at most once.
 *
 * @property begin checks whether a request may run; returns false if the ring is full, and the request must not run.
 *   The callback receives the outcome on the duty thread within a few seconds, even if the table service is
 *   unreachable, and must not block. A request may run only after [AttemptOutcome.MayRun].
 * @property finish records the result of a request that was allowed to run; returns false if the ring is full, and the
 *   record still states that the request may have run
 * @property unwrittenRecords returns the number of records that are not written yet; a graceful shutdown waits until
 *   it is 0
 * @property stop stops the duties and waits a limited time for their threads to end
 */
public data class AttemptPart(
    val begin: (AttemptRequest, (AttemptOutcome) -> Unit) -> Boolean,
    val finish: (AttemptCompletion) -> Boolean,
    val unwrittenRecords: () -> Int,
    val stop: () -> Unit,
)
