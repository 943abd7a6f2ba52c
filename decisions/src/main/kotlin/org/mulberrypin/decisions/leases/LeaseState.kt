package org.mulberrypin.decisions.leases

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.LeaseRecord

/**
 * State of one lease in one process that contends for it.
 *
 * @property observation newest row that was read, and since when it has been unchanged
 * @property hold the lease as held by this process; null unless the newest row names this process as holder
 * @property pendingStep pending read or write of the row; null if there is none
 * @property attempts number of reads and writes started so far
 * @property sentMilliseconds send times of the last [MAX_SENT_WRITES] writes by attempt, for the deadline of the lease
 * once the row shows the write
 * @property lastStepMilliseconds start time of the last read or write; null if none or if the last write did not run
 * @property unresolved true while the outcome of the last write is unknown
 * @property contenders number of instances that contend for the lease, as far as this process knows
 * @property releasing true once the process releases the lease
 */
public data class LeaseState(
    val parameters: LeaseParameters,
    val observation: LeaseObservation? = null,
    val hold: HeldLease? = null,
    val pendingStep: LeaseStep? = null,
    val attempts: Long = 0,
    val sentMilliseconds: PersistentMap<Long, Long> = persistentMapOf(),
    val lastStepMilliseconds: Long? = null,
    val unresolved: Boolean = false,
    val releasing: Boolean = false,
    val contenders: Int = 1,
)

/** A row and the time at which it was first read in this version, on the clock of the reading process. */
public data class LeaseObservation(
    val row: LeaseRow,
    val unchangedSinceMilliseconds: Long,
)

/**
 * A read or write of the lease row that was sent to the table service.
 *
 * @property written record that is written; null for a read
 */
public data class LeaseStep(
    val attempt: Long,
    val sentMilliseconds: Long,
    val expectedVersion: Long,
    val written: LeaseRecord?,
)

/** Maximum number of writes whose send times are kept. */
internal const val MAX_SENT_WRITES = 8

internal fun LeaseState.isOwn(record: LeaseRecord?): Boolean =
    record != null &&
        !record.released &&
        record.holder == parameters.candidate &&
        record.holderIncarnation == parameters.incarnation

/** Whether the newest row that was read names this process as the holder. */
public fun LeaseState.isHeld(): Boolean = isOwn(observation?.row?.record)
