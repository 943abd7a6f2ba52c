package org.mulberrypin.decisions.leases

import org.mulberrypin.schema.generated.LeaseRecord

/**
 * Row of a lease as read from the table service.
 *
 * @property version version of the row; 0 if the row does not exist
 * @property record content of the row; null if the row does not exist
 */
public data class LeaseRow(
    val version: Long,
    val record: LeaseRecord?,
)
