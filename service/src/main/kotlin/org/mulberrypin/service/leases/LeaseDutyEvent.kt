package org.mulberrypin.service.leases

import org.mulberrypin.decisions.leases.LeaseEvent

/** What the duty for leases takes from its ring. */
internal sealed interface LeaseDutyEvent {
    /** The table service answered a step of the lease with a name. */
    data class Answer(
        val name: String,
        val event: LeaseEvent,
    ) : LeaseDutyEvent

    /** The instance gives all its leases up. */
    data object Release : LeaseDutyEvent
}
