package org.mulberrypin.service.explanations

import io.micrometer.core.instrument.MeterRegistry
import org.mulberrypin.decisions.explanations.ExplanationEvent
import org.mulberrypin.decisions.explanations.ExplanationLimits
import org.mulberrypin.decisions.explanations.ExplanationQuery
import org.mulberrypin.decisions.explanations.QueryAuthor
import org.mulberrypin.decisions.surveys.PeerAddress
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.schema.generated.ExplanationQuestion
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.peers.PeerCall

/**
 * Starts the explanation duty. When its ring is full, a record is dropped and counted in a metric, a query is refused
 * as not run, and a peer's response is dropped, so that the peer is reported as missing.
 *
 * @param instance name of this instance
 * @param queryPeer queries a peer for its own records
 */
public fun startExplanationPart(
    instance: String,
    clock: ServiceClock,
    metrics: MeterRegistry,
    queryPeer: PeerCall<ExplanationQuestion, ExplanationAnswer>,
    limits: ExplanationLimits = ExplanationLimits(),
): ExplanationPart {
    val ring = boundedRing<ExplanationInput>("explanations", RING_CAPACITY)
    val explanationDuty = ExplanationDuty(instance, clock, limits, queryPeer, ring::offer)
    val duty =
        startDuty("explanations", ring, clock, TICK_MILLISECONDS, explanationDuty::handle, explanationDuty::tick)
    val dropped = metrics.counter("mulberrypin.explanations.dropped")
    val submit = { query: ExplanationInput.Query -> enqueueOrRefuse(ring, query, instance) }
    return ExplanationPart(
        explain = { explanation ->
            val input = ExplanationInput.Event(ExplanationEvent.Recorded(explanation))
            if (!ring.offer(input)) dropped.increment()
        },
        routes = { server, authenticate, authenticateOperator ->
            val operatorOf = { header: String? -> QueryAuthor.Operator.takeIf { authenticateOperator(header) } }
            val teamMemberOf = { header: String? -> authenticate(header)?.team?.let(QueryAuthor::TeamMember) }
            addExplanationRoute(server, "/operator/explanations", operatorOf, submit)
            addExplanationRoute(server, "/v1/explanations", teamMemberOf, submit)
        },
        handlePeer = { question, onOutcome ->
            submit(ExplanationInput.Query(queryOf(question), includePeers = false, onOutcome))
        },
        peersChanged = { entries ->
            ring.offer(ExplanationInput.Event(ExplanationEvent.PeersChanged(peerAddresses(entries, instance))))
        },
        stop = { duty.stop(STOP_MILLISECONDS) },
    )
}

private fun enqueueOrRefuse(
    ring: BoundedRing<ExplanationInput>,
    query: ExplanationInput.Query,
    instance: String,
) {
    if (!ring.offer(query)) query.onOutcome(explanationOverload(instance))
}

/** The instances among [entries] that the instance named [self] queries: all others. */
internal fun peerAddresses(
    entries: List<InstanceEntry>,
    self: String,
): List<PeerAddress> = entries.filter { it.name != self }.map { PeerAddress(it.name, it.peerAddress) }

private fun queryOf(question: ExplanationQuestion): ExplanationQuery {
    val author = if (question.team.isEmpty()) QueryAuthor.Operator else QueryAuthor.TeamMember(question.team)
    return ExplanationQuery(question.subject, question.name, author)
}

private const val RING_CAPACITY = 4_096
private const val TICK_MILLISECONDS = 100L
private const val STOP_MILLISECONDS = 2_000L
