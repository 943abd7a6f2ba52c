package org.mulberrypin.service.leases

import org.mulberrypin.decisions.leases.LeaseEffect

/** What the duty for leases asks of the table service. */
internal sealed interface LeaseStoreCommand {
    /** Read the rows of several leases by one call. */
    data class Read(
        val steps: List<LeaseEffect.ReadRow>,
    ) : LeaseStoreCommand

    /** Write the rows of several leases by one commit. */
    data class Commit(
        val steps: List<LeaseEffect.WriteRow>,
    ) : LeaseStoreCommand
}
