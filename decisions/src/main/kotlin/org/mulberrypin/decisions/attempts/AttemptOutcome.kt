package org.mulberrypin.decisions.attempts

/** Whether a request under an idempotency key may run. */
public sealed interface AttemptOutcome {
    /** The record is written; no other request under the key may run. */
    public data object MayRun : AttemptOutcome

    /**
     * A request under the key was answered before.
     *
     * @property body the body of that answer, or null when it was too large to be kept
     */
    public data class AlreadyAnswered(
        val status: Int,
        val contentType: String,
        val body: String?,
    ) : AttemptOutcome

    /** A request under the key is under way, or the instance that ran it is gone; it may have run. */
    public data object UnderWayOrUnknown : AttemptOutcome

    /** The key was used for a request with another content; this one was not run. */
    public data object DifferentContent : AttemptOutcome

    /** The record could not be written in time; this request was not run. */
    public data object RecordUnavailable : AttemptOutcome
}
