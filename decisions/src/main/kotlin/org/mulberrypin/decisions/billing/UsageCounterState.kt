package org.mulberrypin.decisions.billing

import org.mulberrypin.schema.generated.UsageCheckpoint

/**
 * What one instance has counted since it started, and how much of it the table service is known to hold.
 *
 * @property sequence number of the newest snapshot
 * @property changed true when something was counted after the newest snapshot
 * @property writtenSequence newest snapshot that the table service is known to hold
 * @property copiedSequence newest snapshot that was sent to a peer
 * @property rowVersion version that the row of this instance is expected to have
 */
@ConsistentCopyVisibility
public data class UsageCounterState internal constructor(
    val terms: UsageTerms,
    internal val counts: UsageCounts = UsageCounts(),
    internal val written: UsageCounts = UsageCounts(),
    internal val names: RecentNames = RecentNames(terms.nameLimit),
    val sequence: Long = 0,
    val changed: Boolean = false,
    val writtenSequence: Long = 0,
    val copiedSequence: Long = 0,
    val rowVersion: Long = 0,
    internal val outstanding: UsageStep? = null,
    internal val attempts: Long = 0,
)

/** Creates the state of an instance that has counted nothing. */
public fun usageCounterState(terms: UsageTerms): UsageCounterState = UsageCounterState(terms)

/** Tells whether the table service is known to hold all that was counted. */
public fun UsageCounterState.isWritten(): Boolean = !changed && writtenSequence == sequence

/** The write of a snapshot whose answer is awaited. */
internal data class UsageStep(
    val attempt: Long,
    val sentMilliseconds: Long,
    val sequence: Long,
    val counts: UsageCounts,
)

internal fun UsageCounterState.checkpoint(contained: UsageCounts): UsageCheckpoint =
    UsageCheckpoint(
        instance = terms.instance,
        incarnation = terms.incarnation,
        windowStartWallMilliseconds = counts.firstListed,
        lines = contained.earlier.toLines(),
        sequence = sequence,
        windows = contained.toWindows(),
    )
