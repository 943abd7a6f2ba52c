package org.mulberrypin.service.objectives

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.decisions.objectives.BurnEvent
import org.mulberrypin.decisions.objectives.ObjectiveLimits
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnQuestion
import org.mulberrypin.schema.generated.BurnReport
import org.mulberrypin.service.explanations.peerAddresses
import org.mulberrypin.service.operators.outcomeResponse
import org.mulberrypin.service.operators.unauthorizedResponse
import org.mulberrypin.service.peers.PeerCall
import java.util.concurrent.CompletableFuture

/**
 * Starts the objective duty. When its ring is full, a measured request is not counted, a report is refused as not run,
 * and a peer's response is dropped, so that the peer is reported as missing.
 *
 * @param instance name of this instance
 * @param queryPeer queries a peer for its counts
 */
public fun startObjectivePart(
    instance: String,
    clock: ServiceClock,
    queryPeer: PeerCall<BurnQuestion, BurnAnswer>,
    limits: ObjectiveLimits = ObjectiveLimits(),
): ObjectivePart {
    val ring = boundedRing<ObjectiveInput>("objectives", RING_CAPACITY)
    val objectiveDuty = ObjectiveDuty(instance, clock, limits, queryPeer, ring::offer)
    val duty = startDuty("objectives", ring, clock, TICK_MILLISECONDS, objectiveDuty::handle, objectiveDuty::tick)
    val offerEvent = { event: BurnEvent -> ring.offer(ObjectiveInput.Event(event)) }
    return ObjectivePart(
        record = { event -> offerEvent(BurnEvent.Recorded(event, clock.readWallMilliseconds())) },
        configurationChanged = { configuration -> offerEvent(BurnEvent.TeamsChanged(configuration.teams)) },
        routes = { server, authenticateOperator ->
            addReportRoute(server, authenticateOperator) { report ->
                if (!ring.offer(report)) report.onOutcome(burnReportOverload(instance))
            }
        },
        handlePeer = { _, onOutcome ->
            if (!ring.offer(ObjectiveInput.Counts(onOutcome))) onOutcome(burnReportOverload(instance))
        },
        peersChanged = { entries -> offerEvent(BurnEvent.PeersChanged(peerAddresses(entries, instance))) },
        stop = { duty.stop(STOP_MILLISECONDS) },
    )
}

/** Adds GET /operator/reports/burn; the parameter instances=this excludes the counts of the peers. */
private fun addReportRoute(
    server: ServerBuilder,
    authenticateOperator: (String?) -> Boolean,
    submit: (ObjectiveInput.Report) -> Unit,
) {
    server.route().get("/operator/reports/burn").build { requestContext, request ->
        if (authenticateOperator(request.headers().get(HttpHeaderNames.AUTHORIZATION))) {
            val includePeers = requestContext.queryParam("instances") != THIS_INSTANCE
            val response = CompletableFuture<HttpResponse>()
            submit(
                ObjectiveInput.Report(includePeers) { outcome ->
                    response.complete(outcomeResponse(outcome, BurnReport.serializer()))
                },
            )
            HttpResponse.of(response)
        } else {
            unauthorizedResponse("burn report")
        }
    }
}

private const val THIS_INSTANCE = "this"
private const val RING_CAPACITY = 8_192
private const val TICK_MILLISECONDS = 200L
private const val STOP_MILLISECONDS = 2_000L
