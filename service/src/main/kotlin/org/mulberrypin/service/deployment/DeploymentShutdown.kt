package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.runtime.ServiceClock

/**
 * Drains an instance without cutting off requests. The instance first reports itself unready to the load balancer and
 * asks callers to close their connections with each response, then releases its jobs to other instances. From then on
 * it refuses calls that still arrive on kept connections, so that what it has passed on can end within the grace
 * period. The drain ends once no call is open, as counted from its head to the end of its response, and no task runs.
 * Calls that are still open shortly before the end of the grace period get a response that says what may have run.
 */
internal class DeploymentShutdown(
    private val graceMilliseconds: Long,
    private val clock: ServiceClock,
    private val readiness: InstanceReadiness,
    private val traffic: TrafficDuty,
    private val control: ControlDuty,
) {
    fun drain() {
        val startMilliseconds = clock.readMilliseconds()
        val endMilliseconds = startMilliseconds + graceMilliseconds - EXIT_RESERVE_MILLISECONDS
        val refusalMilliseconds = minOf(
            startMilliseconds + BALANCER_DETECTION_MILLISECONDS + JOB_RELEASE_MILLISECONDS,
            endMilliseconds - FINISH_MILLISECONDS,
        )
        readiness.draining.set(true)
        traffic.enqueue(TrafficEvent.DrainStarted)
        control.offer(ControlSignal.DrainStarted)
        waitUntil(refusalMilliseconds - JOB_RELEASE_MILLISECONDS) { false }
        traffic.enqueue(TrafficEvent.ReleaseJobs)
        waitUntil(refusalMilliseconds) { false }
        readiness.refusing.set(true)
        waitUntil(endMilliseconds) {
            readiness.openCalls.get() == 0 && traffic.inFlightCount == 0
        }
        traffic.enqueue(TrafficEvent.GraceEnding)
        waitUntil(endMilliseconds + LAST_RESPONSES_MILLISECONDS) { readiness.openCalls.get() == 0 }
    }

    private fun waitUntil(
        endMilliseconds: Long,
        isDone: () -> Boolean,
    ) {
        while (clock.readMilliseconds() < endMilliseconds && !isDone()) Thread.sleep(POLL_INTERVAL_MILLISECONDS)
    }

    private companion object {
        /** Time in which the balancer sees two failed readiness checks, in milliseconds; running tasks may finish. */
        private const val BALANCER_DETECTION_MILLISECONDS = 2_600L

        /** Time for the writes that release jobs, in milliseconds. */
        private const val JOB_RELEASE_MILLISECONDS = 400L

        /** Minimum time for calls that were passed on to end, in milliseconds; a short grace period is divided anew. */
        private const val FINISH_MILLISECONDS = 1_000L

        /** Part of the grace period reserved for process exit, in milliseconds. */
        private const val EXIT_RESERVE_MILLISECONDS = 1_000L

        /** Time for writing the responses to calls that were still open, in milliseconds; within the reserve. */
        private const val LAST_RESPONSES_MILLISECONDS = 400L
        private const val POLL_INTERVAL_MILLISECONDS = 20L
    }
}
