package org.mulberrypin.service.leases

import org.mulberrypin.decisions.leases.LeaseEvent

/** Elements of the lease duty's ring. */
internal sealed interface LeaseDutyEvent {
    /** The result of a read or write of the row of the lease [name]. */
    data class Answer(
        val name: String,
        val event: LeaseEvent,
    ) : LeaseDutyEvent

    /** The instance releases all its leases. */
    data object Release : LeaseDutyEvent
}
