/**
 * All usage that one instance has counted since it started: separate sums for the newest windows, one total for older
 * ones. Every sum only increases, so two states of the same counts are merged by taking the maximum of each value.
 */
package org.mulberrypin.decisions.billing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageLine
import org.mulberrypin.schema.generated.UsageWindowCount

/**
 * Usage of one instance by window, team and route.
 *
 * @property earlier sums of all windows before the oldest one in [windows]
 * @property windows sums by the start of the window, in milliseconds since the Unix epoch
 */
internal data class UsageCounts(
    val earlier: UsageSums = emptySums,
    val windows: PersistentMap<Long, UsageSums> = persistentMapOf(),
) {
    val oldestWindowStart: Long
        get() = windows.keys.minOrNull() ?: 0
}

internal fun UsageCheckpoint.toCounts(): UsageCounts =
    UsageCounts(lines.toSums(), windows.associate { it.startWallMilliseconds to it.lines.toSums() }.toPersistentMap())

internal fun UsageCounts.toWindows(): List<UsageWindowCount> =
    windows.keys.sorted().map { start -> UsageWindowCount(start, windows.getValue(start).toLines()) }

internal fun UsageCounts.plus(
    line: UsageLine,
    start: Long,
    limits: UsageCounterLimits,
): UsageCounts {
    if (windows.isNotEmpty() && start < oldestWindowStart) return copy(earlier = earlier.plusBounded(line, limits))
    val sums = windows[start] ?: emptySums
    return copy(windows = windows.put(start, sums.plusBounded(line, limits))).foldOldestWindow(limits)
}

private fun UsageSums.plusBounded(
    line: UsageLine,
    limits: UsageCounterLimits,
): UsageSums {
    val isCounted = UsageKey(line.team, line.route) in this
    return plusLine(if (isCounted || size < limits.sumLimit) line else line.copy(route = OTHER_ROUTES))
}

private fun UsageCounts.foldOldestWindow(limits: UsageCounterLimits): UsageCounts =
    if (windows.size <= limits.separateWindows) this else foldWindowsBefore(windows.keys.sorted()[1])

private fun UsageCounts.foldWindowsBefore(start: Long): UsageCounts {
    val oldWindows = windows.filterKeys { it < start }
    return UsageCounts(
        oldWindows.values.fold(earlier, UsageSums::plusSums),
        windows.filterKeys { it >= start }.toPersistentMap(),
    )
}

/** Returns the sums that differ from an [older] state of the same counts, as totals and not as differences. */
internal fun UsageCounts.changedSince(older: UsageCounts): UsageCounts {
    val aligned = older.foldWindowsBefore(oldestWindowStart)
    val changed = windows
        .mapValues { (start, sums) -> sums.changedSince(aligned.windows[start] ?: emptySums) }
        .filter { (_, sums) -> sums.isNotEmpty() }
    return UsageCounts(earlier.changedSince(aligned.earlier), changed.toPersistentMap())
}

private fun UsageSums.changedSince(older: UsageSums): UsageSums =
    filter { (key, line) -> older[key] != line }.toPersistentMap()

/**
 * Merges a [newer] state of the same counts, which may be reduced to the sums that changed.
 *
 * @param newerOldestStart start of the oldest window that the newer state lists separately
 */
internal fun UsageCounts.mergedWith(
    newer: UsageCounts,
    newerOldestStart: Long,
): UsageCounts {
    val aligned = foldWindowsBefore(newerOldestStart)
    val starts = aligned.windows.keys + newer.windows.keys
    val merged = starts.associateWith { start -> maximumOf(aligned.windows[start], newer.windows[start]) }
    return UsageCounts(maximumOf(aligned.earlier, newer.earlier), merged.toPersistentMap())
}

private fun maximumOf(
    first: UsageSums?,
    second: UsageSums?,
): UsageSums {
    val initial = first ?: emptySums
    return second.orEmpty().entries.fold(initial) { sums, (key, line) -> sums.put(key, maximumOf(sums[key], line)) }
}

private fun maximumOf(
    first: UsageLine?,
    second: UsageLine,
): UsageLine = if (first == null) second else combine(first, second, ::maxOf)

/** Returns the sums over all windows that start before [end]. */
internal fun UsageCounts.sumsBefore(end: Long): UsageSums =
    windows.filterKeys { it < end }.values.fold(earlier, UsageSums::plusSums)
