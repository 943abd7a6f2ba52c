package org.mulberrypin.service

import com.linecorp.armeria.server.Server
import org.apache.logging.log4j.LogManager

/**
 * Ends an entry instance. A graceful shutdown tells the balancer and the peers first, admits nothing more, and stops
 * only when nothing is under way or the settings' longest drain has passed.
 */
internal class EntryShutdown(
    private val context: EntryContext,
    private val parts: EntryParts,
    private val readiness: Readiness,
    private val servers: List<Server>,
) {
    fun drainAndStop() {
        logger.info("Shutting down: finishing what is under way.")
        readiness.set(false)
        parts.membership.leave()
        pause(NOTICE_MILLISECONDS)
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
        parts.certaintyWatch.stop(NOTICE_MILLISECONDS)
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
        while (isBusy() && context.clock.readMilliseconds() < deadlineMilliseconds) pause(CHECK_MILLISECONDS)
    }

    private fun isBusy(): Boolean =
        parts.requests.inFlight() > 0 || parts.rollouts.inFlight() > 0 || parts.attempts.waiting() > 0

    private fun pause(milliseconds: Long) = Thread.sleep(milliseconds)

    private companion object {
        private val logger = LogManager.getLogger("instance")

        /** Time for the balancer and the peers to learn that this instance leaves, in milliseconds. */
        private const val NOTICE_MILLISECONDS = 1_000L

        /** Time between two looks at what is under way, in milliseconds. */
        private const val CHECK_MILLISECONDS = 100L
    }
}
