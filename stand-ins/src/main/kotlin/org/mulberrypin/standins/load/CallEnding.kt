/** How calls end, and what their attempts together say about whether the request ran. */
package org.mulberrypin.standins.load

import org.mulberrypin.standins.text.AnswerCheck

/** How a call ended, after all its attempts. */
internal sealed interface CallEnding {
    /** An answer came that claims to be whole. */
    data class Answered(
        val check: AnswerCheck,
        val firstPartMilliseconds: Long,
    ) : CallEnding

    /**
     * The last attempt was refused.
     *
     * @property run what all attempts together amount to: "not_run", "may_have_run" or "unstated"
     */
    data class Refused(
        val run: String,
    ) : CallEnding

    /** The last attempt was cut or never sent, and nothing was said about the request. */
    data object Lost : CallEnding
}

/** How a call ended whose attempts went as [results] say. */
internal fun callEnding(results: List<AttemptResult>): CallEnding =
    when (val last = results.last()) {
        is AttemptResult.Answered -> CallEnding.Answered(last.check, last.firstPartMilliseconds)
        is AttemptResult.Refused -> CallEnding.Refused(runOf(results))
        AttemptResult.NotSent, AttemptResult.Cut -> CallEnding.Lost
    }

/** What [results] together say about the request: it was not run only if that holds for every attempt. */
internal fun runOf(results: List<AttemptResult>): String {
    val runs = results.map { it.run() }
    return when {
        runs.all { it == NOT_RUN } -> NOT_RUN
        MAY_HAVE_RUN in runs -> MAY_HAVE_RUN
        else -> UNSTATED
    }
}

/** What an attempt says about the request. */
internal fun AttemptResult.run(): String =
    when (this) {
        is AttemptResult.Refused -> run.ifEmpty { UNSTATED }
        AttemptResult.NotSent -> NOT_RUN
        AttemptResult.Cut -> MAY_HAVE_RUN
        is AttemptResult.Answered -> MAY_HAVE_RUN
    }

internal const val NOT_RUN = "not_run"
internal const val MAY_HAVE_RUN = "may_have_run"
internal const val UNSTATED = "unstated"
