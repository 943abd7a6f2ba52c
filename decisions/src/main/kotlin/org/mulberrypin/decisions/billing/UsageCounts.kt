/**
 * All usage that one instance has counted since it started: the newest windows apart, older ones summed up. Every sum
 * only grows, so two states of the same counts are merged by taking the larger value of each.
 */
package org.mulberrypin.decisions.billing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageLine
import org.mulberrypin.schema.generated.UsageWindowCount

/**
 * @property earlier sums of all windows before the oldest one in [windows]
 * @property windows sums by the start of the window
 */
internal data class UsageCounts(
    val earlier: UsageSums = noUsage,
    val windows: PersistentMap<Long, UsageSums> = persistentMapOf(),
) {
    val firstListed: Long
        get() = windows.keys.minOrNull() ?: 0
}

internal fun UsageCheckpoint.toCounts(): UsageCounts =
    UsageCounts(lines.toSums(), windows.associate { it.startWallMilliseconds to it.lines.toSums() }.toPersistentMap())

internal fun UsageCounts.toWindows(): List<UsageWindowCount> =
    windows.keys.sorted().map { start -> UsageWindowCount(start, windows.getValue(start).toLines()) }

internal fun UsageCounts.plus(
    line: UsageLine,
    start: Long,
    terms: UsageTerms,
): UsageCounts {
    if (windows.isNotEmpty() && start < firstListed) return copy(earlier = earlier.plusBounded(line, terms))
    val sums = windows[start] ?: noUsage
    return copy(windows = windows.put(start, sums.plusBounded(line, terms))).fold(terms)
}

private fun UsageSums.plusBounded(
    line: UsageLine,
    terms: UsageTerms,
): UsageSums {
    val known = UsageKey(line.team, line.route) in this
    return plusLine(if (known || size < terms.sumLimit) line else line.copy(route = OTHER_ROUTES))
}

private fun UsageCounts.fold(terms: UsageTerms): UsageCounts =
    if (windows.size <= terms.listedWindows) this else foldBefore(windows.keys.sorted()[1])

private fun UsageCounts.foldBefore(start: Long): UsageCounts {
    val old = windows.filterKeys { it < start }
    return UsageCounts(
        old.values.fold(earlier, UsageSums::plusSums),
        windows.filterKeys { it >= start }.toPersistentMap(),
    )
}

/** The sums that differ from an [older] state of the same counts, whole and not as differences. */
internal fun UsageCounts.changedSince(older: UsageCounts): UsageCounts {
    val aligned = older.foldBefore(firstListed)
    val changed = windows
        .mapValues { (start, sums) -> sums.changedSince(aligned.windows[start] ?: noUsage) }
        .filter { (_, sums) -> sums.isNotEmpty() }
    return UsageCounts(earlier.changedSince(aligned.earlier), changed.toPersistentMap())
}

private fun UsageSums.changedSince(older: UsageSums): UsageSums =
    filter { (key, line) -> older[key] != line }.toPersistentMap()

/** Merges a [newer] state, or the part of it that changed, whose list of windows begins at [newerFirst]. */
internal fun UsageCounts.mergedWith(
    newer: UsageCounts,
    newerFirst: Long,
): UsageCounts {
    val aligned = foldBefore(newerFirst)
    val starts = aligned.windows.keys + newer.windows.keys
    val merged = starts.associateWith { start -> larger(aligned.windows[start], newer.windows[start]) }
    return UsageCounts(larger(aligned.earlier, newer.earlier), merged.toPersistentMap())
}

private fun larger(
    first: UsageSums?,
    second: UsageSums?,
): UsageSums {
    val start = first ?: noUsage
    return second.orEmpty().entries.fold(start) { sums, (key, line) -> sums.put(key, larger(sums[key], line)) }
}

private fun larger(
    first: UsageLine?,
    second: UsageLine,
): UsageLine = if (first == null) second else combine(first, second, ::maxOf)

/** Sums of all windows that start before [end]. */
internal fun UsageCounts.before(end: Long): UsageSums =
    windows.filterKeys { it < end }.values.fold(earlier, UsageSums::plusSums)
