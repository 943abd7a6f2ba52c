/**
 * Selects the window to freeze next and computes its usage. A window contains the usage that every instance counted up
 * to the end of the window, less the usage taken into earlier windows. Usage that arrives late therefore falls into the
 * next window.
 */
package org.mulberrypin.decisions.billing

import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageLine
import org.mulberrypin.schema.generated.UsageProgress
import org.mulberrypin.schema.generated.UsageTaken
import org.mulberrypin.schema.generated.UsageWindow

/**
 * The rows that freeze a window. They are written in one commit on condition that the lease's row, the progress row and
 * the rows of usage taken have the stated versions and that no row exists for the new reports.
 *
 * @property lease the lease under which the window is frozen
 * @property progress the new progress, with the version of the row that it replaces
 * @property taken the new rows of usage taken, with the versions that they replace, by [usageInstanceKey]
 * @property reports the reports of the window
 */
public data class UsageFreeze(
    val lease: HeldLease,
    val progress: UsageRow<UsageProgress>,
    val taken: Map<String, UsageRow<UsageTaken>>,
    val reports: List<UsageWindow>,
)

/**
 * Timing and size limits of usage reports.
 *
 * @property windowMilliseconds length of a window
 * @property settleMilliseconds time between the end of a window and its freezing
 * @property loadMilliseconds interval between two reads of the rows from which windows are frozen
 * @property lineLimit maximum number of lines in one report; the usage of a window with more is split
 * @property sendTimeoutMilliseconds maximum time that the platform needs to receive a report
 * @property clockRateBound maximum relative difference between the rates of two clocks
 */
public data class UsageReportLimits(
    val windowMilliseconds: Long,
    val settleMilliseconds: Long,
    val loadMilliseconds: Long,
    val lineLimit: Int,
    val sendTimeoutMilliseconds: Long,
    val clockRateBound: Double,
)

/** Returns the next window to freeze, or null if none is due or none has unreported usage. */
internal fun planFreeze(
    ledger: UsageLedger,
    lease: HeldLease,
    limits: UsageReportLimits,
    wallMilliseconds: Long,
): UsageFreeze? {
    val windowMilliseconds = limits.windowMilliseconds
    val newestStart =
        Math.floorDiv(wallMilliseconds - limits.settleMilliseconds, windowMilliseconds) * windowMilliseconds -
            windowMilliseconds
    val frozenBefore = ledger.progress.value.frozenBeforeWallMilliseconds
    if (newestStart < frozenBefore) return null
    return ledger.checkpoints
        .flatMap { checkpoint -> checkpoint.windows.map { it.startWallMilliseconds } }
        .filter { it in frozenBefore..newestStart }
        .plus(newestStart)
        .toSortedSet()
        .firstNotNullOfOrNull { start -> createFreeze(ledger, lease, limits, start) }
}

private fun createFreeze(
    ledger: UsageLedger,
    lease: HeldLease,
    limits: UsageReportLimits,
    start: Long,
): UsageFreeze? {
    val end = start + limits.windowMilliseconds
    val usage = ledger.checkpoints.associateWith { it.toCounts().sumsBefore(end).excessOver(takenSums(ledger, it)) }
    val lines = usage.values.fold(emptySums, UsageSums::plusSums).toLines()
    if (lines.isEmpty()) return null
    return UsageFreeze(
        lease = lease,
        progress = UsageRow(ledger.progress.version, UsageProgress(end, lease.fencingNumber)),
        taken = usage.filterValues { it.isNotEmpty() }.entries.associate { (checkpoint, sums) ->
            usageInstanceKey(checkpoint) to takenRow(ledger, checkpoint, sums, end)
        },
        reports = splitIntoReports(lines, start, end, lease, limits),
    )
}

private fun takenSums(
    ledger: UsageLedger,
    checkpoint: UsageCheckpoint,
): UsageSums = ledger.taken[usageInstanceKey(checkpoint)]
    ?.value
    ?.lines
    .orEmpty()
    .toSums()

private fun takenRow(
    ledger: UsageLedger,
    checkpoint: UsageCheckpoint,
    used: UsageSums,
    end: Long,
): UsageRow<UsageTaken> {
    val lines = takenSums(ledger, checkpoint).plusSums(used).toLines()
    val version = ledger.taken[usageInstanceKey(checkpoint)]?.version ?: 0
    return UsageRow(version, UsageTaken(checkpoint.instance, checkpoint.incarnation, lines, end))
}

private fun splitIntoReports(
    lines: List<UsageLine>,
    start: Long,
    end: Long,
    lease: HeldLease,
    limits: UsageReportLimits,
): List<UsageWindow> =
    lines.chunked(limits.lineLimit).mapIndexed { part, partLines ->
        UsageWindow(start, end, "usage-$start-$part", partLines, lease.fencingNumber)
    }

/** Returns the ledger after the commit of [freeze]. */
internal fun UsageLedger.afterCommit(freeze: UsageFreeze): UsageLedger =
    copy(
        progress = freeze.progress.nextVersion(),
        taken = taken + freeze.taken.mapValues { (_, row) -> row.nextVersion() },
        reports = reports + freeze.reports.map { UsageRow(1, it) },
    )

private fun <Value> UsageRow<Value>.nextVersion(): UsageRow<Value> = copy(version = version + 1)
