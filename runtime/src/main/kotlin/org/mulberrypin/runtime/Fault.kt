package org.mulberrypin.runtime

/**
 * Describes why a step failed.
 *
 * @property step the step that failed, such as "table commit"
 * @property peer the address or name of the process that the step called
 * @property kind whether the step may have taken effect and whether a retry can succeed
 * @property detail human-readable description of what was found and what was expected
 */
public data class Fault(
    val step: String,
    val peer: String,
    val kind: FaultKind,
    val detail: String,
) {
    override fun toString(): String = "$step at $peer: $kind: $detail"
}
