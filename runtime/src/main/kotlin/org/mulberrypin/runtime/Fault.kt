package org.mulberrypin.runtime

/**
 * Describes why an operation failed.
 *
 * @property step the operation that failed, such as "table commit"
 * @property peer the address or name of the process that the operation called
 * @property kind whether the operation may have taken effect and whether a retry can succeed
 * @property detail a human-readable description of what was found and what was expected
 */
public data class Fault(
    val step: String,
    val peer: String,
    val kind: FaultKind,
    val detail: String,
) {
    override fun toString(): String = "$step at $peer: $kind: $detail"
}
