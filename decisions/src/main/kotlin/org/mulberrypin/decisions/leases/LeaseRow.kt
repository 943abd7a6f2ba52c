package org.mulberrypin.decisions.leases

import org.mulberrypin.schema.generated.LeaseRecord

/**
 * The row of a lease as the table service answered it.
 *
 * @property version version of the row; 0 stands for a missing row
 * @property record the content, or null for a missing row
 */
public data class LeaseRow(
    val version: Long,
    val record: LeaseRecord?,
)
