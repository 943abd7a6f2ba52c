package org.mulberrypin.service

import com.linecorp.armeria.server.Server
import org.apache.logging.log4j.LogManager

/**
 * Stops an entry instance. A graceful shutdown first announces the departure to the load balancer and the peers, then
 * stops admitting requests, and stops the parts once nothing is in progress or the drain timeout has expired.
 */
internal class EntryShutdown(
    private val context: EntryContext,
    private val parts: EntryParts,
    private val readiness: Readiness,
    private val servers: List<Server>,
) {
    fun drainAndStop() {
        logger.info("Shutting down: finishing the requests in progress.")
        readiness.set(false)
        parts.membership.leave()
        sleep(DEPARTURE_MILLISECONDS)
        parts.requests.drain()
        parts.rollouts.drain()
        awaitIdle()
        parts.billing.drain()
        parts.leases.release()
        stop()
    }

    fun stop() {
        servers.forEach { it.stop().join() }
        parts.membership.stop()
        parts.configurationMonitor.stop(DEPARTURE_MILLISECONDS)
        parts.rollouts.stop()
        parts.requests.stop()
        parts.supply.stop()
        parts.billing.stop()
        parts.leases.stop()
        parts.configuration.stop()
        parts.attempts.stop()
        parts.objectives.stop()
        parts.explanations.stop()
        logger.info("Stopped.")
    }

    private fun awaitIdle() {
        val startMilliseconds = context.clock.readMilliseconds()
        val deadlineMilliseconds = startMilliseconds + context.settings.instance.drainMilliseconds
        while (isBusy() && context.clock.readMilliseconds() < deadlineMilliseconds) sleep(IDLE_CHECK_MILLISECONDS)
    }

    private fun isBusy(): Boolean =
        parts.requests.inFlight() > 0 || parts.rollouts.inFlight() > 0 || parts.attempts.unwrittenRecords() > 0

    private fun sleep(milliseconds: Long) = Thread.sleep(milliseconds)

    private companion object {
        private val logger = LogManager.getLogger("instance")

        /**
         * Time in which the load balancer and the peers can detect that this instance is leaving, and timeout for the
         * configuration monitor to stop, in milliseconds.
         */
        private const val DEPARTURE_MILLISECONDS = 1_000L

        /** Interval between checks for work in progress, in milliseconds. */
        private const val IDLE_CHECK_MILLISECONDS = 100L
    }
}
