package org.mulberrypin.standins.faults

/** How the active faults affect one operation. */
internal sealed interface FaultAction {
    /** The operation runs and gets its response. */
    data object Run : FaultAction

    /** The operation runs, and its connection is closed instead of a response. */
    data object RunAndLoseAnswer : FaultAction

    /** The operation does not run and gets the HTTP status [status]. */
    data class Refuse(
        val status: Int,
    ) : FaultAction

    /** The operation does not run, and its connection is closed. */
    data object Disconnect : FaultAction

    /** The operation is dispatched again after a delay, even if its client has disconnected by then. */
    data class Delay(
        val milliseconds: Long,
    ) : FaultAction
}
