package org.mulberrypin.standins.load

import org.mulberrypin.standins.text.AnswerCheck

/** What became of one attempt at a call. */
internal sealed interface AttemptResult {
    /** An answer came that claims to be whole. */
    data class Answered(
        val check: AnswerCheck,
        val firstPartMilliseconds: Long,
    ) : AttemptResult

    /**
     * An error came in place of a whole answer, or behind the start of one.
     *
     * @property run what the error says about the request: "not_run", "may_have_run" or empty
     */
    data class Refused(
        val run: String,
        val type: String,
    ) : AttemptResult

    /** No connection was made, so that nothing was sent. */
    data object NotSent : AttemptResult

    /** The connection was cut, or the answer did not come in time. */
    data object Cut : AttemptResult
}
