package org.mulberrypin.decisions.billing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * State of the process that reports usage. Times are by the clock of this process unless stated otherwise.
 *
 * @property ledger the last known content of the rows, or null when they must be read
 * @property loadedWallMilliseconds time before the rows were read, in milliseconds since the Unix epoch
 * @property acceptedReportNames names of the reports that the platform has accepted and whose rows are not deleted yet
 * @property nextLoadMilliseconds time at which the rows are read again, or null before the first read
 * @property nextSendMilliseconds time before which no report is sent, or null without a limit
 * @property attempts number of steps started so far
 * @property outstanding the step whose response is awaited, or null
 */
@ConsistentCopyVisibility
public data class UsageReporterState internal constructor(
    val limits: UsageReportLimits,
    val ledger: UsageLedger? = null,
    val loadedWallMilliseconds: Long = 0,
    val acceptedReportNames: PersistentSet<String> = persistentSetOf(),
    val nextLoadMilliseconds: Long? = null,
    val nextSendMilliseconds: Long? = null,
    internal val attempts: Long = 0,
    internal val outstanding: UsageReporterStep? = null,
)

/** Creates the initial state. */
public fun usageReporterState(limits: UsageReportLimits): UsageReporterState = UsageReporterState(limits)

/**
 * A step whose response is awaited.
 *
 * @property sentMilliseconds time at which the step was started, by the clock of this process
 */
internal data class UsageReporterStep(
    val attempt: Long,
    val sentMilliseconds: Long,
    val effect: UsageReporterEffect,
)
