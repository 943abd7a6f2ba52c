package org.mulberrypin.standins.load

/**
 * What became of one call, over all its attempts.
 *
 * @property name name of the call, under which a plain service counts its executions
 * @property latencyMilliseconds time from the first attempt to the end of the last one
 * @property run what the attempts together say about the request: "not_run", "may_have_run" or "unstated"
 * @property refusals refused attempts by what they said about the request
 * @property cuts attempts whose connection was cut or never made
 */
internal data class CallResult(
    val name: String,
    val kind: CallKind,
    val ending: CallEnding,
    val latencyMilliseconds: Long,
    val run: String,
    val refusals: Map<String, Long>,
    val cuts: Long,
)
