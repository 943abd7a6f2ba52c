package org.mulberrypin.decisions.attempts

/** What became of a request. A request of which this is unknown is not finished: its record stays as it is. */
public sealed interface AttemptResult {
    /** The backend server answered. */
    public data class Answered(
        val status: Int,
        val contentType: String,
        val body: String,
    ) : AttemptResult

    /** No byte of the request reached a backend server, or the backend server said so; a resend may run. */
    public data object NotRun : AttemptResult
}
