package org.mulberrypin.runtime

/**
 * Why a step failed.
 *
 * @property step the step that failed, such as "table commit"
 * @property peer the address or name of the process at which the fault arose
 * @property kind whether the step took effect and whether repeating it can help
 * @property detail what was found and what was expected, for people
 */
public data class Fault(
    val step: String,
    val peer: String,
    val kind: FaultKind,
    val detail: String,
) {
    override fun toString(): String = "$step at $peer: $kind: $detail"
}
