package org.mulberrypin.standins.faults

import org.mulberrypin.schema.generated.StandInFaults

/**
 * Control over the faults of a running stand-in.
 *
 * @property set replaces the active faults; the new ones apply to all operations received after the call has returned
 * @property read returns the active faults with their remaining counts
 */
public data class FaultControl(
    val set: (StandInFaults) -> Unit,
    val read: () -> StandInFaults,
)
