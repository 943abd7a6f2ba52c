package org.mulberrypin.benchmarks.rollouts

import java.util.PriorityQueue

/** Simulated time: actions run in the order of their times, and of their scheduling where times are equal. */
internal class SimulatedClock {
    private data class Scheduled(
        val atMilliseconds: Long,
        val sequence: Long,
        val act: () -> Unit,
    )

    private val scheduled = PriorityQueue(compareBy<Scheduled>({ it.atMilliseconds }, { it.sequence }))
    private var sequence = 0L

    var nowMilliseconds = 0L
        private set

    fun after(
        milliseconds: Long,
        act: () -> Unit,
    ) {
        scheduled.add(Scheduled(nowMilliseconds + milliseconds, sequence++, act))
    }

    fun runUntil(isDone: () -> Boolean) {
        while (!isDone()) {
            val next = scheduled.poll() ?: return
            nowMilliseconds = next.atMilliseconds
            next.act()
        }
    }
}
