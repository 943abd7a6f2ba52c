/**
 * Decides which usage windows an instance writes, which ones the holder of the report duty freezes, and which ones it
 * sends. A window is frozen in the store before it is sent for the first time, so that every repetition is equal.
 */
package org.mulberrypin.decisions.windows

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.TeamCount

/**
 * What an instance knows of usage windows.
 *
 * @property windowMilliseconds length of a window
 * @property counts requests that this instance saw begin, by window and team; at most [KEPT_WINDOWS] windows
 * @property unwritten windows whose counts changed since they were last written
 * @property firstWindow the first window that this instance may report; earlier ones ended before it started
 * @property reported windows that the platform has taken
 * @property frozen windows that are frozen and not yet taken
 * @property underWay windows for which a step is under way, with the time at which it began
 */
public data class UsageWindows(
    val windowMilliseconds: Long,
    val firstWindow: Long,
    val counts: Map<Long, Map<String, Long>> = emptyMap(),
    val unwritten: Set<Long> = emptySet(),
    val reported: Set<Long> = emptySet(),
    val frozen: Map<Long, List<TeamCount>> = emptyMap(),
    val underWay: Map<Long, Long> = emptyMap(),
)

/** What happens to usage windows. */
public sealed interface UsageEvent {
    /** A request of a team began to run. */
    public data class Counted(
        val team: String,
        val wallMilliseconds: Long,
    ) : UsageEvent

    /** The counts of a window could not be written. */
    public data class WriteFailed(
        val window: Long,
    ) : UsageEvent

    /** A window is frozen in the store with these counts. */
    public data class Frozen(
        val window: Long,
        val counts: List<TeamCount>,
    ) : UsageEvent

    /** The platform has taken a window. */
    public data class Reported(
        val window: Long,
    ) : UsageEvent

    /** A step for a window failed. */
    public data class StepFailed(
        val window: Long,
    ) : UsageEvent

    /** Time has passed; [holds] is true while this instance holds the report duty. */
    public data class Ticked(
        val wallMilliseconds: Long,
        val holds: Boolean,
    ) : UsageEvent
}

/** What the duty carries out. */
public sealed interface UsageEffect {
    /** Write this instance's counts of a window. */
    public data class WriteCounts(
        val window: Long,
        val counts: List<TeamCount>,
    ) : UsageEffect

    /** Add up the counts of all instances and freeze the window. */
    public data class Freeze(
        val window: Long,
    ) : UsageEffect

    /** Send a frozen window. */
    public data class Report(
        val window: Long,
        val counts: List<TeamCount>,
    ) : UsageEffect
}

/** Decides an event. */
public fun decideUsage(
    state: UsageWindows,
    event: UsageEvent,
    nowMilliseconds: Long,
): Transition<UsageWindows, UsageEffect> =
    when (event) {
        is UsageEvent.Counted -> Transition(state.count(event))

        is UsageEvent.WriteFailed -> Transition(state.copy(unwritten = state.unwritten + event.window))

        is UsageEvent.Frozen -> Transition(
            state.copy(
                frozen = state.frozen + (event.window to event.counts),
                underWay = state.underWay - event.window,
            ),
        )

        is UsageEvent.Reported -> Transition(
            state.copy(
                reported = state.reported + event.window,
                frozen = state.frozen - event.window,
                underWay = state.underWay - event.window,
            ),
        )

        is UsageEvent.StepFailed -> Transition(state.copy(underWay = state.underWay - event.window))

        is UsageEvent.Ticked -> state.tick(event, nowMilliseconds)
    }

private fun UsageWindows.count(event: UsageEvent.Counted): UsageWindows {
    val window = event.wallMilliseconds / windowMilliseconds
    val teams = counts[window].orEmpty()
    val earlier: Long = teams[event.team] ?: 0L
    val counted = teams + Pair(event.team, earlier + 1)
    return copy(counts = counts + (window to counted), unwritten = unwritten + window)
}

private fun UsageWindows.tick(
    event: UsageEvent.Ticked,
    nowMilliseconds: Long,
): Transition<UsageWindows, UsageEffect> {
    val current = event.wallMilliseconds / windowMilliseconds
    val writes = unwritten.sorted().map { UsageEffect.WriteCounts(it, teamCounts(counts[it].orEmpty())) }
    val oldest = current - KEPT_WINDOWS
    val kept = copy(
        unwritten = emptySet(),
        counts = counts.filterKeys { it >= oldest },
        reported = reported.filterTo(HashSet()) { it >= oldest },
    )
    if (!event.holds) return Transition(kept.copy(underWay = emptyMap()), writes)
    val ended = (event.wallMilliseconds - COLLECTION_MILLISECONDS) / windowMilliseconds - 1
    val due = (maxOf(firstWindow, oldest)..ended).filter { window ->
        window !in reported && (underWay[window]?.let { nowMilliseconds - it > STEP_MILLISECONDS } ?: true)
    }
    val steps = due.map { window ->
        frozen[window]?.let { UsageEffect.Report(window, it) } ?: UsageEffect.Freeze(window)
    }
    return Transition(kept.copy(underWay = kept.underWay + due.associateWith { nowMilliseconds }), writes + steps)
}

internal fun teamCounts(counts: Map<String, Long>): List<TeamCount> =
    counts.entries.sortedBy { it.key }.map { TeamCount(it.key, it.value) }

/** Adds up the counts of several instances. */
public fun sumCounts(counts: List<TeamCount>): List<TeamCount> =
    teamCounts(counts.groupBy { it.team }.mapValues { (_, lines) -> lines.sumOf { it.requests } })

/** Windows that are kept: with windows of 5 s, a minute. */
private const val KEPT_WINDOWS = 12L

/** Time after the end of a window in which instances write their last counts, in milliseconds. */
private const val COLLECTION_MILLISECONDS = 3_000L

/** Time after which a step that was not answered is begun again, in milliseconds. */
private const val STEP_MILLISECONDS = 2_000L
