package org.mulberrypin.decisions.billing

import org.mulberrypin.schema.generated.UsageCheckpoint

/**
 * The usage that one instance has counted since it started, and how much of it has been persisted.
 *
 * @property counts everything counted since the instance started
 * @property written the counts in the newest written checkpoint
 * @property names names of recently counted requests
 * @property sequence number of the newest snapshot
 * @property changed true if usage was counted after the newest snapshot
 * @property writtenSequence number of the newest snapshot known to be stored in the table service
 * @property copiedSequence number of the newest snapshot sent to a peer
 * @property rowVersion expected version of this instance's row
 * @property outstanding the checkpoint write whose response is awaited, or null
 * @property attempts number of checkpoint writes so far
 */
@ConsistentCopyVisibility
public data class UsageCounterState internal constructor(
    val limits: UsageCounterLimits,
    internal val counts: UsageCounts = UsageCounts(),
    internal val written: UsageCounts = UsageCounts(),
    internal val names: RecentNames = RecentNames(limits.nameLimit),
    val sequence: Long = 0,
    val changed: Boolean = false,
    val writtenSequence: Long = 0,
    val copiedSequence: Long = 0,
    val rowVersion: Long = 0,
    internal val outstanding: PendingCheckpointWrite? = null,
    internal val attempts: Long = 0,
)

/** Creates the initial state. */
public fun usageCounterState(limits: UsageCounterLimits): UsageCounterState = UsageCounterState(limits)

/** Returns whether all counted usage is known to be stored in the table service. */
public fun UsageCounterState.isWritten(): Boolean = !changed && writtenSequence == sequence

/**
 * The write of a snapshot whose response is awaited.
 *
 * @property sentMilliseconds time at which the write was started, by the clock of this process
 */
internal data class PendingCheckpointWrite(
    val attempt: Long,
    val sentMilliseconds: Long,
    val sequence: Long,
    val counts: UsageCounts,
)

internal fun UsageCounterState.createCheckpoint(included: UsageCounts): UsageCheckpoint =
    UsageCheckpoint(
        instance = limits.instance,
        incarnation = limits.incarnation,
        windowStartWallMilliseconds = counts.oldestWindowStart,
        lines = included.earlier.toLines(),
        sequence = sequence,
        windows = included.toWindows(),
    )
