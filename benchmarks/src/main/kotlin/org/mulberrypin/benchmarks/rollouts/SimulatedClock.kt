package org.mulberrypin.benchmarks.rollouts

import java.util.PriorityQueue

/** Simulated time: runs actions in order of their time; actions with equal times run in the order of scheduling. */
internal class SimulatedClock {
    private data class Scheduled(
        val atMilliseconds: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val scheduled = PriorityQueue(compareBy<Scheduled>({ it.atMilliseconds }, { it.sequence }))
    private var sequence = 0L

    var nowMilliseconds = 0L
        private set

    /** Schedules [action] after [milliseconds]. */
    fun schedule(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        scheduled.add(Scheduled(nowMilliseconds + milliseconds, sequence++, action))
    }

    /** Runs scheduled actions until [isDone] is true or none is left. */
    fun runUntil(isDone: () -> Boolean) {
        while (!isDone()) {
            val next = scheduled.poll() ?: return
            nowMilliseconds = next.atMilliseconds
            next.action()
        }
    }
}
