package org.mulberrypin.decisions.leases

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.LeaseRecord

/**
 * What one process knows about one lease.
 *
 * @property observation the newest row that was seen and since when it has been unchanged
 * @property hold set while the newest row names this process
 * @property outstanding the step at the table service whose answer is awaited
 * @property attempts number of steps begun so far
 * @property sentMilliseconds when each write that the row may still come to show was sent; at most
 * [SENT_WRITES_LIMIT] writes, of which the oldest goes first
 * @property unresolved true while it is unknown whether the last write took effect
 * @property releasing true once the process gives the lease up
 */
public data class LeaseState(
    val terms: LeaseTerms,
    val observation: LeaseObservation? = null,
    val hold: LeaseHold? = null,
    val outstanding: LeaseStep? = null,
    val attempts: Long = 0,
    val sentMilliseconds: PersistentMap<Long, Long> = persistentMapOf(),
    val lastStepMilliseconds: Long? = null,
    val unresolved: Boolean = false,
    val releasing: Boolean = false,
)

/**
 * A row and the time at which an answer first showed it, by the clock of the process that watches it.
 */
public data class LeaseObservation(
    val row: LeaseRow,
    val sinceMilliseconds: Long,
)

/**
 * A step at the table service that was begun.
 *
 * @property written the record of a write, or null for a read
 */
public data class LeaseStep(
    val attempt: Long,
    val sentMilliseconds: Long,
    val expectedVersion: Long,
    val written: LeaseRecord?,
)

internal const val SENT_WRITES_LIMIT = 8

internal fun LeaseState.isOwn(record: LeaseRecord?): Boolean =
    record != null &&
        !record.released &&
        record.holder == terms.candidate &&
        record.holderIncarnation == terms.incarnation

/** Tells whether the newest row that was seen names this process as the holder. */
public fun LeaseState.isHeld(): Boolean = isOwn(observation?.row?.record)
