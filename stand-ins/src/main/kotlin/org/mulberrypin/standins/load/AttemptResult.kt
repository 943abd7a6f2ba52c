package org.mulberrypin.standins.load

import org.mulberrypin.standins.text.AnswerCheck

/** Result of one attempt at a call. */
internal sealed interface AttemptResult {
    /** A response arrived without an error; [check] says whether its text is complete and correct. */
    data class Answered(
        val check: AnswerCheck,
        val firstChunkMilliseconds: Long,
    ) : AttemptResult

    /**
     * The server returned an error, either instead of a response or in the middle of a stream.
     *
     * @property executionStatus the field `run` of the error: "not_run", "may_have_run" or empty
     * @property type type of the error
     */
    data class Refused(
        val executionStatus: String,
        val type: String,
    ) : AttemptResult

    /** The connection failed before the request was sent. */
    data object NotSent : AttemptResult

    /** The connection closed or the response timed out after the request may have been sent. */
    data object NoResponse : AttemptResult
}
