package org.mulberrypin.standins.faults

/** What happens to one operation under the faults in force. */
internal sealed interface FaultAction {
    /** The operation runs and is answered. */
    data object Run : FaultAction

    /** The operation runs and its connection is cut instead of an answer. */
    data object RunAndLoseAnswer : FaultAction

    /** The operation does not run and is answered with an HTTP status. */
    data class Refuse(
        val status: Int,
    ) : FaultAction

    /** The operation does not run and its connection is cut. */
    data object Cut : FaultAction

    /** The operation is decided again after a pause, whether its caller still waits or not. */
    data class Delay(
        val milliseconds: Long,
    ) : FaultAction
}
