package org.mulberrypin.decisions.attempts

/** Result of an attempt. An attempt with an unknown result is never finished: its record says that it may have run. */
public sealed interface AttemptResult {
    /** The backend server returned a response; [body] is null if it is no text. */
    public data class Answered(
        val status: Int,
        val contentType: String,
        val body: String?,
    ) : AttemptResult

    /**
     * No byte of the request reached a backend server, or the backend server reported that it did not run the request.
     * A repeated request may run.
     */
    public data object NotRun : AttemptResult
}
