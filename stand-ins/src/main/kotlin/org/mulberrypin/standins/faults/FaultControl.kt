package org.mulberrypin.standins.faults

import org.mulberrypin.schema.generated.StandInFaults

/**
 * Control over the faults of a running stand-in.
 *
 * @property set replaces the faults in force; they meet every operation that arrives after the call has returned
 * @property read reads the faults in force, with the counts that are left
 */
public data class FaultControl(
    val set: (StandInFaults) -> Unit,
    val read: () -> StandInFaults,
)
