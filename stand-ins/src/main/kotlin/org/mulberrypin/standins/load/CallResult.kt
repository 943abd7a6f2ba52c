package org.mulberrypin.standins.load

import org.mulberrypin.standins.text.AnswerCheck

/**
 * What became of one call, over all its attempts.
 *
 * @property check what the answer turned out to be, or null when no answer came in any attempt
 * @property latencyMilliseconds time from the first attempt to the end of the answer
 * @property firstPartMilliseconds time to the first part, within the attempt that was answered
 * @property refusals refused attempts by what they said about the request: "not_run", "may_have_run" or "unstated"
 * @property cuts attempts whose connection was cut or never made
 */
internal data class CallResult(
    val kind: CallKind,
    val check: AnswerCheck?,
    val latencyMilliseconds: Long,
    val firstPartMilliseconds: Long,
    val refusals: Map<String, Long>,
    val cuts: Long,
)
