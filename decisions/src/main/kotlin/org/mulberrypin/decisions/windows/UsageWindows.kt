/**
 * Decides when an instance writes its usage counts to the store, and when the holder of the report lease freezes and
 * reports a usage window. A window is frozen in the store before it is first reported, so that every retry sends the
 * same counts.
 */
package org.mulberrypin.decisions.windows

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.TeamCount

/**
 * State of the usage windows on one instance. A window is identified by its start time divided by its length.
 *
 * @property windowMilliseconds length of a window in milliseconds
 * @property counts requests that started on this instance, by window and team; windows older than the
 * last [MAX_RETAINED_WINDOWS] are dropped
 * @property unwritten windows whose counts have changed since the last write
 * @property firstWindow first window that this instance may report; earlier ones ended before it started
 * @property reported windows that the platform has accepted
 * @property frozen counts of the windows that are frozen but not yet reported
 * @property pendingSteps windows with a pending freeze or report, and the start time of that step in milliseconds
 */
public data class UsageWindows(
    val windowMilliseconds: Long,
    val firstWindow: Long,
    val counts: Map<Long, Map<String, Long>> = emptyMap(),
    val unwritten: Set<Long> = emptySet(),
    val reported: Set<Long> = emptySet(),
    val frozen: Map<Long, List<TeamCount>> = emptyMap(),
    val pendingSteps: Map<Long, Long> = emptyMap(),
)

/** Inputs of the usage window decisions. */
public sealed interface UsageEvent {
    /** A request of a team started to run. */
    public data class Counted(
        val team: String,
        val wallMilliseconds: Long,
    ) : UsageEvent

    /** Writing the counts of a window failed. */
    public data class WriteFailed(
        val window: Long,
    ) : UsageEvent

    /** A window is frozen in the store with these counts. */
    public data class Frozen(
        val window: Long,
        val counts: List<TeamCount>,
    ) : UsageEvent

    /** The platform accepted the report of a window. */
    public data class Reported(
        val window: Long,
    ) : UsageEvent

    /** Freezing or reporting a window failed. */
    public data class StepFailed(
        val window: Long,
    ) : UsageEvent

    /** Timer tick; [isLeaseHolder] is true while this instance holds the report lease. */
    public data class Tick(
        val wallMilliseconds: Long,
        val isLeaseHolder: Boolean,
    ) : UsageEvent
}

/** Side effects requested by the usage window decisions. */
public sealed interface UsageEffect {
    /** Write this instance's counts of a window to the store. */
    public data class WriteCounts(
        val window: Long,
        val counts: List<TeamCount>,
    ) : UsageEffect

    /** Sum the counts of all instances and freeze the window in the store. */
    public data class FreezeWindow(
        val window: Long,
    ) : UsageEffect

    /** Report a frozen window to the platform. */
    public data class ReportWindow(
        val window: Long,
        val counts: List<TeamCount>,
    ) : UsageEffect
}

/** Applies an event; [nowMilliseconds] is the time on the clock of this process, for step timeouts. */
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
                pendingSteps = state.pendingSteps - event.window,
            ),
        )

        is UsageEvent.Reported -> Transition(
            state.copy(
                reported = state.reported + event.window,
                frozen = state.frozen - event.window,
                pendingSteps = state.pendingSteps - event.window,
            ),
        )

        is UsageEvent.StepFailed -> Transition(state.copy(pendingSteps = state.pendingSteps - event.window))

        is UsageEvent.Tick -> state.tick(event, nowMilliseconds)
    }

private fun UsageWindows.count(event: UsageEvent.Counted): UsageWindows {
    val window = event.wallMilliseconds / windowMilliseconds
    val teams = counts[window].orEmpty()
    val previousCount: Long = teams[event.team] ?: 0L
    val counted = teams + Pair(event.team, previousCount + 1)
    return copy(counts = counts + (window to counted), unwritten = unwritten + window)
}

private fun UsageWindows.tick(
    event: UsageEvent.Tick,
    nowMilliseconds: Long,
): Transition<UsageWindows, UsageEffect> {
    val current = event.wallMilliseconds / windowMilliseconds
    val writes = unwritten.sorted().map { UsageEffect.WriteCounts(it, teamCounts(counts[it].orEmpty())) }
    val oldestRetained = current - MAX_RETAINED_WINDOWS
    val pruned = copy(
        unwritten = emptySet(),
        counts = counts.filterKeys { it >= oldestRetained },
        reported = reported.filterTo(HashSet()) { it >= oldestRetained },
    )
    if (!event.isLeaseHolder) return Transition(pruned.copy(pendingSteps = emptyMap()), writes)
    val lastCompleteWindow = (event.wallMilliseconds - WRITE_GRACE_MILLISECONDS) / windowMilliseconds - 1
    val due = (maxOf(firstWindow, oldestRetained)..lastCompleteWindow).filter { window ->
        window !in reported && (pendingSteps[window]?.let { nowMilliseconds - it > STEP_TIMEOUT_MILLISECONDS } ?: true)
    }
    val steps = due.map { window ->
        frozen[window]?.let { UsageEffect.ReportWindow(window, it) } ?: UsageEffect.FreezeWindow(window)
    }
    return Transition(
        pruned.copy(pendingSteps = pruned.pendingSteps + due.associateWith { nowMilliseconds }),
        writes + steps,
    )
}

internal fun teamCounts(counts: Map<String, Long>): List<TeamCount> =
    counts.entries.sortedBy { it.key }.map { TeamCount(it.key, it.value) }

/** Sums the counts of several instances by team. */
public fun sumCounts(counts: List<TeamCount>): List<TeamCount> =
    teamCounts(counts.groupBy { it.team }.mapValues { (_, lines) -> lines.sumOf { it.requests } })

/** Number of past windows that are retained: one minute with windows of 5 s. */
private const val MAX_RETAINED_WINDOWS = 12L

/** Time after the end of a window for instances to write their final counts, in milliseconds. */
private const val WRITE_GRACE_MILLISECONDS = 3_000L

/** Time after which a freeze or report that got no response is retried, in milliseconds. */
private const val STEP_TIMEOUT_MILLISECONDS = 2_000L
