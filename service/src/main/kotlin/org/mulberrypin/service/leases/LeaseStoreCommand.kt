package org.mulberrypin.service.leases

import org.mulberrypin.decisions.leases.LeaseEffect

/** Calls to the table service that the lease duty queues for the store duty. */
internal sealed interface LeaseStoreCommand {
    /** Reads the rows of several leases in one call. */
    data class Read(
        val steps: List<LeaseEffect.ReadRow>,
    ) : LeaseStoreCommand

    /** Writes the rows of several leases in one commit. */
    data class Commit(
        val steps: List<LeaseEffect.WriteRow>,
    ) : LeaseStoreCommand
}
