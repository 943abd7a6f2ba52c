package org.mulberrypin.decisions.billing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * What the process that reports usage knows.
 *
 * @property ledger the rows as they are known to be, or null when they must be read
 * @property loadedWallMilliseconds wall time before the rows were read
 * @property toConfirm names of the reports that the platform has accepted and whose rows are not deleted yet
 * @property nextLoadMilliseconds time at which the rows are read again
 * @property nextSendMilliseconds time before which no report is sent
 */
@ConsistentCopyVisibility
public data class UsageReporterState internal constructor(
    val terms: UsageReportTerms,
    val ledger: UsageLedger? = null,
    val loadedWallMilliseconds: Long = 0,
    val toConfirm: PersistentSet<String> = persistentSetOf(),
    val nextLoadMilliseconds: Long? = null,
    val nextSendMilliseconds: Long? = null,
    internal val attempts: Long = 0,
    internal val outstanding: UsageReporterStep? = null,
)

/** Creates the state of a process that has reported nothing. */
public fun usageReporterState(terms: UsageReportTerms): UsageReporterState = UsageReporterState(terms)

/** A step of the reporter whose answer is awaited. */
internal data class UsageReporterStep(
    val attempt: Long,
    val sentMilliseconds: Long,
    val effect: UsageReporterEffect,
)
