/**
 * Decides which window is frozen next and with which figures. A window takes what every instance has counted up to its
 * end beyond what earlier windows took, so usage that arrives late falls into the next window.
 */
package org.mulberrypin.decisions.billing

import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageLine
import org.mulberrypin.schema.generated.UsageProgress
import org.mulberrypin.schema.generated.UsageTaken
import org.mulberrypin.schema.generated.UsageWindow

/**
 * The rows that freeze a window, to be written by one commit: only if the lease's row, the progress and the rows of
 * usage taken have the stated versions, and no report exists under the names.
 *
 * @property lease the lease under which the window is frozen
 * @property progress the new progress, with the version it replaces
 * @property taken the new rows of usage taken, with the versions they replace
 */
public data class UsageFreeze(
    val lease: LeaseHold,
    val progress: UsageRow<UsageProgress>,
    val taken: Map<String, UsageRow<UsageTaken>>,
    val reports: List<UsageWindow>,
)

/**
 * When windows are frozen and sent.
 *
 * @property settleMilliseconds time after the end of a window before it is frozen
 * @property loadMilliseconds time between two readings of the rows from which windows are frozen
 * @property lineLimit lines of one report at most; a window with more is split
 * @property longestSendMilliseconds longest time the platform may need to take a report that was sent
 * @property clockRateBound largest relative difference between the rates of two clocks
 */
public data class UsageReportTerms(
    val windowMilliseconds: Long,
    val settleMilliseconds: Long,
    val loadMilliseconds: Long,
    val lineLimit: Int,
    val longestSendMilliseconds: Long,
    val clockRateBound: Double,
)

/** Plans the next window to freeze, or answers null when none is due or nothing was used. */
internal fun planFreeze(
    ledger: UsageLedger,
    lease: LeaseHold,
    terms: UsageReportTerms,
    wallMilliseconds: Long,
): UsageFreeze? {
    val window = terms.windowMilliseconds
    val newest = Math.floorDiv(wallMilliseconds - terms.settleMilliseconds, window) * window - window
    val frozenBefore = ledger.progress.value.frozenBeforeWallMilliseconds
    if (newest < frozenBefore) return null
    return ledger.checkpoints
        .flatMap { checkpoint -> checkpoint.windows.map { it.startWallMilliseconds } }
        .filter { it in frozenBefore..newest }
        .plus(newest)
        .toSortedSet()
        .firstNotNullOfOrNull { start -> freezeOf(ledger, lease, terms, start) }
}

private fun freezeOf(
    ledger: UsageLedger,
    lease: LeaseHold,
    terms: UsageReportTerms,
    start: Long,
): UsageFreeze? {
    val end = start + terms.windowMilliseconds
    val used = ledger.checkpoints.associateWith { it.toCounts().before(end).beyond(takenSums(ledger, it)) }
    val lines = used.values.fold(noUsage, UsageSums::plusSums).toLines()
    if (lines.isEmpty()) return null
    return UsageFreeze(
        lease = lease,
        progress = UsageRow(ledger.progress.version, UsageProgress(end, lease.fencingNumber)),
        taken = used.filterValues { it.isNotEmpty() }.entries.associate { (checkpoint, sums) ->
            usageInstanceKey(checkpoint) to takenRow(ledger, checkpoint, sums, end)
        },
        reports = reportsOf(lines, start, end, lease, terms),
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

private fun reportsOf(
    lines: List<UsageLine>,
    start: Long,
    end: Long,
    lease: LeaseHold,
    terms: UsageReportTerms,
): List<UsageWindow> =
    lines.chunked(terms.lineLimit).mapIndexed { part, partLines ->
        UsageWindow(start, end, "usage-$start-$part", partLines, lease.fencingNumber)
    }

/** The ledger after the commit that freezes a window. */
internal fun UsageLedger.after(freeze: UsageFreeze): UsageLedger =
    copy(
        progress = freeze.progress.next(),
        taken = taken + freeze.taken.mapValues { (_, row) -> row.next() },
        reports = reports + freeze.reports.map { UsageRow(1, it) },
    )

private fun <Value> UsageRow<Value>.next(): UsageRow<Value> = copy(version = version + 1)
