package org.mulberrypin.service.explanations

import io.micrometer.core.instrument.MeterRegistry
import org.mulberrypin.decisions.explanations.Asker
import org.mulberrypin.decisions.explanations.ExplanationEvent
import org.mulberrypin.decisions.explanations.ExplanationLimits
import org.mulberrypin.decisions.explanations.ExplanationQuery
import org.mulberrypin.decisions.surveys.SurveyPeer
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.schema.generated.ExplanationQuestion
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.peers.PeerCall

/**
 * Starts the duty that keeps explanations. When its ring is full, a record is dropped and counted, a question is
 * refused as not run, and the answer of a peer is passed over, so that the peer counts as missing.
 *
 * @param instance name of this instance
 * @param askPeer asks a peer for its own records
 */
public fun startExplanationPart(
    instance: String,
    clock: ServiceClock,
    metrics: MeterRegistry,
    askPeer: PeerCall<ExplanationQuestion, ExplanationAnswer>,
    limits: ExplanationLimits = ExplanationLimits(),
): ExplanationPart {
    val ring = boundedRing<ExplanationWork>("explanations", RING_CAPACITY)
    val explanationDuty = ExplanationDuty(instance, clock, limits, askPeer, ring::offer)
    val duty =
        startDuty("explanations", ring, clock, TICK_MILLISECONDS, explanationDuty::handle, explanationDuty::tick)
    val dropped = metrics.counter("mulberrypin.explanations.dropped")
    val submit = { question: ExplanationWork.Question -> submitTo(ring, question, instance) }
    return ExplanationPart(
        explain = { explanation ->
            val work = ExplanationWork.Notice(ExplanationEvent.Recorded(explanation))
            if (!ring.offer(work)) dropped.increment()
        },
        routes = { server, authenticate, authenticateOperator ->
            val operatorOf = { header: String? -> Asker.Operator.takeIf { authenticateOperator(header) } }
            val memberOf = { header: String? -> authenticate(header)?.team?.let(Asker::TeamMember) }
            addExplanationRoute(server, "/operator/explanations", operatorOf, submit)
            addExplanationRoute(server, "/v1/explanations", memberOf, submit)
        },
        handlePeer = { question, onOutcome ->
            submit(ExplanationWork.Question(queryOf(question), everywhere = false, onOutcome))
        },
        peersChanged = { entries ->
            ring.offer(ExplanationWork.Notice(ExplanationEvent.PeersChanged(surveyPeers(entries, instance))))
        },
        stop = { duty.stop(STOP_MILLISECONDS) },
    )
}

private fun submitTo(
    ring: BoundedRing<ExplanationWork>,
    question: ExplanationWork.Question,
    instance: String,
) {
    if (!ring.offer(question)) question.onOutcome(busyExplanations(instance))
}

/** The instances among [entries] that surveys of the instance named [self] ask. */
internal fun surveyPeers(
    entries: List<InstanceEntry>,
    self: String,
): List<SurveyPeer> = entries.filter { it.name != self }.map { SurveyPeer(it.name, it.peerAddress) }

private fun queryOf(question: ExplanationQuestion): ExplanationQuery {
    val asker = if (question.team.isEmpty()) Asker.Operator else Asker.TeamMember(question.team)
    return ExplanationQuery(question.subject, question.name, asker)
}

private const val RING_CAPACITY = 4_096
private const val TICK_MILLISECONDS = 100L
private const val STOP_MILLISECONDS = 2_000L
