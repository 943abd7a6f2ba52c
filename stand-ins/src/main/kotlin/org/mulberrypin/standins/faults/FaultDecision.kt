/** Decides which fault applies to an operation. Each use of a counted fault decrements its count. */
package org.mulberrypin.standins.faults

import org.mulberrypin.schema.generated.StandInFaults

/**
 * @property faults the faults that remain active
 * @property action how the operation is affected
 */
internal data class FaultDecision(
    val faults: StandInFaults,
    val action: FaultAction,
)

/**
 * Decides how [faults] affect the operation named [operation].
 *
 * @param delayed true if the operation was already delayed
 */
internal fun decideFault(
    faults: StandInFaults,
    operation: String,
    delayed: Boolean,
): FaultDecision =
    when {
        !operation.startsWith(faults.operation) -> {
            FaultDecision(faults, FaultAction.Run)
        }

        !delayed && faults.slowMilliseconds > 0 -> {
            FaultDecision(faults, FaultAction.Delay(faults.slowMilliseconds))
        }

        faults.down -> {
            FaultDecision(faults, FaultAction.Disconnect)
        }

        faults.refuse > 0 -> {
            refuse(faults)
        }

        faults.loseAnswers > 0 -> {
            FaultDecision(faults.copy(loseAnswers = faults.loseAnswers - 1), FaultAction.RunAndLoseAnswer)
        }

        else -> {
            FaultDecision(faults, FaultAction.Run)
        }
    }

private fun refuse(faults: StandInFaults): FaultDecision {
    val status = if (faults.refuseStatus == 0) SERVICE_UNAVAILABLE_STATUS else faults.refuseStatus
    return FaultDecision(faults.copy(refuse = faults.refuse - 1), FaultAction.Refuse(status))
}

private const val SERVICE_UNAVAILABLE_STATUS = 503
