/**
 * Decides how tasks and scoring calls go on after servers crashed under them. A trainer handed them in for later, so
 * they are owed whatever happens: a suspicion costs a task time and the company of other tasks, and never its place. A
 * task is a suspect if the connections of consecutive attempts were lost before their first event, since an engine that
 * generates an event has begun to run the task and survived.
 */
package org.mulberrypin.decisions.traffic

/** Wait before the next attempt after [crashes] consecutive crashes, in milliseconds. */
internal fun crashWait(crashes: Int): Long {
    val doublings = crashes - CRASHES_UNTIL_ALONE - 1
    return when {
        crashes < CRASHES_UNTIL_ALONE -> 0
        crashes == CRASHES_UNTIL_ALONE -> SHORT_WAIT_MILLISECONDS
        doublings > MAX_WAIT_DOUBLINGS -> MAX_WAIT_MILLISECONDS
        else -> FIRST_LONG_WAIT_MILLISECONDS shl doublings
    }
}

/** Counts an attempt whose connection was lost; an attempt that generated events clears the suspicion. */
internal fun TaskProgress.withLostConnection(nowMilliseconds: Long): TaskProgress {
    val next = if (lastEvent > attemptStartEvent) 0 else crashes + 1
    return copy(crashes = next, notBeforeMilliseconds = nowMilliseconds + crashWait(next))
}

/** Whether a task has to run without company until its first event. */
internal fun TaskProgress.isIsolated(): Boolean = crashes >= CRASHES_UNTIL_ALONE

/**
 * The engines of [available] on which [task] may run now. An isolated task takes an engine without other tasks; if
 * there is none for some time, it goes to any engine, so that it is not starved while all are busy.
 */
internal fun enginesFor(
    task: TaskProgress,
    available: List<Backend>,
    nowMilliseconds: Long,
): List<Backend> {
    if (!task.isIsolated()) return available
    val empty = available.filter { it.inFlight == 0 }
    val hasWaited = nowMilliseconds - task.notBeforeMilliseconds >= MAX_WAIT_FOR_EMPTY_ENGINE_MILLISECONDS
    return if (empty.isEmpty() && hasWaited) available else empty
}

/** Consecutive crashes from which a task runs alone. */
private const val CRASHES_UNTIL_ALONE = 2

/** Wait after the second crash, in milliseconds; it only keeps a task from every server that crashes in a moment. */
private const val SHORT_WAIT_MILLISECONDS = 200L

/** Wait after the third crash, in milliseconds, which is about a server's restart; doubles with each further one. */
private const val FIRST_LONG_WAIT_MILLISECONDS = 2_000L
private const val MAX_WAIT_DOUBLINGS = 3

/** Wait after further crashes, in milliseconds; a task is tried at least twice a minute. */
private const val MAX_WAIT_MILLISECONDS = 30_000L

/** Longest wait for an engine without other tasks, in milliseconds. */
private const val MAX_WAIT_FOR_EMPTY_ENGINE_MILLISECONDS = 1_000L
