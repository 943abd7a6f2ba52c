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
import org.mulberrypin.service.explanations.surveyPeers
import org.mulberrypin.service.operators.outcomeResponse
import org.mulberrypin.service.operators.unauthorizedResponse
import org.mulberrypin.service.peers.PeerCall
import java.util.concurrent.CompletableFuture

/**
 * Starts the duty that counts measured requests. When its ring is full, a request is not counted, a report is refused
 * as not run, and the answer of a peer is passed over, so that the peer counts as missing.
 *
 * @param instance name of this instance
 * @param askPeer asks a peer for its counts
 */
public fun startObjectivePart(
    instance: String,
    clock: ServiceClock,
    askPeer: PeerCall<BurnQuestion, BurnAnswer>,
    limits: ObjectiveLimits = ObjectiveLimits(),
): ObjectivePart {
    val ring = boundedRing<ObjectiveWork>("objectives", RING_CAPACITY)
    val objectiveDuty = ObjectiveDuty(instance, clock, limits, askPeer, ring::offer)
    val duty = startDuty("objectives", ring, clock, TICK_MILLISECONDS, objectiveDuty::handle, objectiveDuty::tick)
    val notice = { event: BurnEvent -> ring.offer(ObjectiveWork.Notice(event)) }
    return ObjectivePart(
        record = { event -> notice(BurnEvent.Recorded(event, clock.readWallMilliseconds())) },
        configurationChanged = { configuration -> notice(BurnEvent.TeamsChanged(configuration.teams)) },
        routes = { server, authenticateOperator ->
            addReportRoute(server, authenticateOperator) { report ->
                if (!ring.offer(report)) report.onOutcome(busyObjectives(instance))
            }
        },
        handlePeer = { _, onOutcome ->
            if (!ring.offer(ObjectiveWork.Counts(onOutcome))) onOutcome(busyObjectives(instance))
        },
        peersChanged = { entries -> notice(BurnEvent.PeersChanged(surveyPeers(entries, instance))) },
        stop = { duty.stop(STOP_MILLISECONDS) },
    )
}

/** Adds GET /operator/reports/burn; the parameter instances=this leaves out the counts of the peers. */
private fun addReportRoute(
    server: ServerBuilder,
    authenticateOperator: (String?) -> Boolean,
    submit: (ObjectiveWork.Report) -> Unit,
) {
    server.route().get("/operator/reports/burn").build { requestContext, request ->
        if (authenticateOperator(request.headers().get(HttpHeaderNames.AUTHORIZATION))) {
            val everywhere = requestContext.queryParam("instances") != THIS_INSTANCE
            val response = CompletableFuture<HttpResponse>()
            submit(
                ObjectiveWork.Report(everywhere) { outcome ->
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
