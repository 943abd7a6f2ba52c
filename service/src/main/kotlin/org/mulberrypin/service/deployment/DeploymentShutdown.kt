package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.runtime.ServiceClock

/**
 * Stops an instance without cutting a request short: the balancer is told first, callers are asked to leave with each
 * answer, jobs go to other instances, and the process ends once nothing is under way or its grace is nearly over.
 */
internal class DeploymentShutdown(
    private val graceMilliseconds: Long,
    private val clock: ServiceClock,
    private val readiness: InstanceReadiness,
    private val traffic: TrafficDuty,
    private val control: ControlDuty,
) {
    fun drain() {
        val start = clock.readMilliseconds()
        readiness.draining.set(true)
        traffic.tell(TrafficEvent.DrainStarted)
        control.offer(ControlSignal.DrainStarted)
        pauseUntil(start + NOTICE_MILLISECONDS) { false }
        traffic.tell(TrafficEvent.JobsReleased)
        pauseUntil(start + NOTICE_MILLISECONDS + RELEASE_MILLISECONDS) { false }
        pauseUntil(start + graceMilliseconds - RESERVE_MILLISECONDS) { traffic.underWay == 0 }
    }

    private fun pauseUntil(
        endMilliseconds: Long,
        isDone: () -> Boolean,
    ) {
        while (clock.readMilliseconds() < endMilliseconds && !isDone()) Thread.sleep(CHECK_MILLISECONDS)
    }

    private companion object {
        /** Time in which the balancer misses two readiness answers, in milliseconds; tasks under way may end in it. */
        private const val NOTICE_MILLISECONDS = 2_600L

        /** Time for the writes that give jobs away, in milliseconds. */
        private const val RELEASE_MILLISECONDS = 400L

        /** Part of the grace that is left for the end of the process, in milliseconds. */
        private const val RESERVE_MILLISECONDS = 1_000L
        private const val CHECK_MILLISECONDS = 100L
    }
}
