package org.mulberrypin.decisions.attempts

/** Whether a request with an idempotency key may run. */
public sealed interface AttemptOutcome {
    /** The record is written; no other request with this key may run. */
    public data object MayRun : AttemptOutcome

    /**
     * A request with this key has already received a response.
     *
     * @property body body of the stored response, or null if it was too large to store
     */
    public data class AlreadyCompleted(
        val status: Int,
        val contentType: String,
        val body: String?,
    ) : AttemptOutcome

    /** A request with this key is in progress, or its instance failed before recording a result; it may have run. */
    public data object InProgressOrUnknown : AttemptOutcome

    /** The key was used for a request with different content; this request was not run. */
    public data object DifferentContent : AttemptOutcome

    /** The record could not be written in time; this request was not run. */
    public data object RecordUnavailable : AttemptOutcome
}
