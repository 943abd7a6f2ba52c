package org.mulberrypin.service.attempts

import org.mulberrypin.decisions.attempts.AttemptBegin
import org.mulberrypin.decisions.attempts.AttemptFinish
import org.mulberrypin.decisions.attempts.AttemptOutcome

/**
 * The part of an entry instance that keeps records of requests that must run at most once.
 *
 * @property begin asks whether a request may run; false means that the ring is full and it must not run. The outcome is
 * handed over on the duty's thread, which must not be blocked, within a few seconds also while the table service is
 * out of reach. A request runs only after [AttemptOutcome.MayRun].
 * @property finish records how a request ended that was allowed to run; false means that the ring is full, and the
 * record goes on to say that the request may have run
 * @property waiting number of records that are not written yet; a graceful shutdown waits until it is 0
 * @property stop ends the duties and waits for them
 */
public data class AttemptPart(
    val begin: (AttemptBegin, (AttemptOutcome) -> Unit) -> Boolean,
    val finish: (AttemptFinish) -> Boolean,
    val waiting: () -> Int,
    val stop: () -> Unit,
)
