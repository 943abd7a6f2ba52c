/**
 * Assembles an entry instance: starts its parts, connects them through function types, and opens one server for
 * callers, trainers and operators and one for peers.
 */
package org.mulberrypin.service

import com.linecorp.armeria.server.Server
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.apache.logging.log4j.LogManager
import org.mulberrypin.platform.Platform
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.service.explanations.startExplanationPart
import org.mulberrypin.service.peers.grpcPeerClient
import java.util.concurrent.CompletionException

/** Starts an entry instance that uses [platform]; fails if it cannot open its ports. */
public fun startEntryInstance(
    settings: EntrySettings,
    platform: Platform,
    clock: ServiceClock = systemClock(),
): Outcome<EntryInstance> {
    val peers = grpcPeerClient()
    val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val explanations = startExplanationPart(settings.instance.name, clock, metrics, peers.explain)
    val context =
        EntryContext(
            settings = settings,
            incarnation = clock.readWallMilliseconds(),
            clock = clock,
            platform = platform,
            peers = peers,
            metrics = metrics,
            explain = explanations.explain,
        )
    val parts = startParts(context, explanations)
    val readiness = Readiness()
    val callerServer = callerServer(context, parts, readiness, metrics::scrape)
    val peerServer = peerServer(context, parts)
    return try {
        peerServer.start().join()
        callerServer.start().join()
        Outcome.Success(runningInstance(context, parts, readiness, callerServer, peerServer))
    } catch (failure: CompletionException) {
        val instance = settings.instance
        val detail = failure.cause?.message ?: "Cannot open the ports of the instance."
        Outcome.Failure(Fault("listen", "${instance.host}:${instance.port}", FaultKind.REFUSED, detail))
    }
}

private fun runningInstance(
    context: EntryContext,
    parts: EntryParts,
    readiness: Readiness,
    callerServer: Server,
    peerServer: Server,
): EntryInstance {
    val host = context.settings.instance.host
    val address = "$host:${callerServer.activeLocalPort()}"
    val peerAddress = "$host:${peerServer.activeLocalPort()}"
    val shutdown = EntryShutdown(context, parts, readiness, listOf(callerServer, peerServer))
    parts.membership.register(address, peerAddress)
    readiness.set(true)
    logger.info("Listening for callers on {} and for peers on {}.", address, peerAddress)
    return EntryInstance(address, peerAddress, shutdown::drainAndStop, shutdown::stop)
}

private val logger = LogManager.getLogger("instance")
