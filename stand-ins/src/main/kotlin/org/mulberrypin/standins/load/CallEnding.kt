/** How a call ended after all its attempts, and whether its request may have been executed. */
package org.mulberrypin.standins.load

import org.mulberrypin.standins.text.AnswerCheck

/** How a call ended, determined by its last attempt. */
internal sealed interface CallEnding {
    /** A response arrived without an error; [check] says whether its text is complete and correct. */
    data class Answered(
        val check: AnswerCheck,
        val firstChunkMilliseconds: Long,
    ) : CallEnding

    /**
     * The last attempt was refused.
     *
     * @property executionStatus status over all attempts: "not_run", "may_have_run" or "unstated"
     */
    data class Refused(
        val executionStatus: String,
    ) : CallEnding

    /** The last attempt got no response, or its request was never sent. */
    data object Unanswered : CallEnding
}

/** How a call with the attempts [results] ended. */
internal fun callEnding(results: List<AttemptResult>): CallEnding =
    when (val last = results.last()) {
        is AttemptResult.Answered -> CallEnding.Answered(last.check, last.firstChunkMilliseconds)
        is AttemptResult.Refused -> CallEnding.Refused(combinedExecutionStatus(results))
        AttemptResult.NotSent, AttemptResult.NoResponse -> CallEnding.Unanswered
    }

/** Execution status over all attempts; it is "not_run" only if every attempt was not run. */
internal fun combinedExecutionStatus(results: List<AttemptResult>): String {
    val statuses = results.map { it.executionStatus() }
    return when {
        statuses.all { it == NOT_RUN } -> NOT_RUN
        MAY_HAVE_RUN in statuses -> MAY_HAVE_RUN
        else -> UNSTATED
    }
}

/** Whether the request of this attempt was executed, as far as the client can tell. */
internal fun AttemptResult.executionStatus(): String =
    when (this) {
        is AttemptResult.Refused -> executionStatus.ifEmpty { UNSTATED }
        AttemptResult.NotSent -> NOT_RUN
        AttemptResult.NoResponse -> MAY_HAVE_RUN
        is AttemptResult.Answered -> MAY_HAVE_RUN
    }

internal const val NOT_RUN = "not_run"
internal const val MAY_HAVE_RUN = "may_have_run"
internal const val UNSTATED = "unstated"
