/**
 * Stores explanations of decisions and answers queries for them, with the records of this instance alone or of all
 * instances. A caller receives only records of the caller's own team; this is enforced on each queried instance and
 * again where the answers are merged.
 */
package org.mulberrypin.decisions.explanations

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.surveys.PeerQueryResult
import org.mulberrypin.decisions.surveys.PeerQueryTransition
import org.mulberrypin.schema.generated.Explanation

/** Returns the next state and the effects of [event] at [nowMilliseconds] by the clock of this process. */
public fun decideExplanations(
    state: ExplanationState,
    event: ExplanationEvent,
    nowMilliseconds: Long,
): Transition<ExplanationState, ExplanationEffect> =
    when (event) {
        is ExplanationEvent.Recorded -> {
            Transition(state.copy(records = state.records.add(event.explanation)))
        }

        is ExplanationEvent.QueryReceived -> {
            startQuery(state, event, nowMilliseconds)
        }

        is ExplanationEvent.PeerAnswered -> {
            applyStep(state, state.queries.addResponse(event.queryNumber, event.peer, event.explanations))
        }

        is ExplanationEvent.PeerFailed -> {
            applyStep(state, state.queries.fail(event.queryNumber, event.peer))
        }

        is ExplanationEvent.PeersChanged -> {
            Transition(state.copy(peers = event.peers))
        }

        is ExplanationEvent.Tick -> {
            applyStep(state, state.queries.expire(nowMilliseconds))
        }
    }

private fun startQuery(
    state: ExplanationState,
    event: ExplanationEvent.QueryReceived,
    nowMilliseconds: Long,
): Transition<ExplanationState, ExplanationEffect> {
    val peers = if (event.includePeers) state.peers else emptyList()
    if (peers.isNotEmpty() && state.queries.isFull) {
        return Transition(state, listOf(ExplanationEffect.Refuse(event.queryNumber)))
    }
    val deadlineMilliseconds = nowMilliseconds + state.records.limits.queryTimeoutMilliseconds
    val opened = state.queries.start(event.queryNumber, event.query, peers.map { it.name }, deadlineMilliseconds)
    val peerRequests = peers.map { peer -> ExplanationEffect.QueryPeer(event.queryNumber, peer, event.query) }
    val answered = applyStep(state, opened)
    return Transition(answered.state, peerRequests + answered.effects)
}

private fun applyStep(
    state: ExplanationState,
    transition: PeerQueryTransition<ExplanationQuery, List<Explanation>>,
): Transition<ExplanationState, ExplanationEffect> =
    Transition(state.copy(queries = transition.table), transition.ended.map { result -> mergeAnswers(state, result) })

private fun mergeAnswers(
    state: ExplanationState,
    result: PeerQueryResult<ExplanationQuery, List<Explanation>>,
): ExplanationEffect {
    val peerRecords = result.responses.flatten().filter { explanation -> isReadable(explanation, result.subject) }
    val merged = newest(state.records.find(result.subject) + peerRecords, state.records.limits.answerRecordLimit)
    return ExplanationEffect.Answer(result.number, merged, result.missing)
}

private fun isReadable(
    explanation: Explanation,
    query: ExplanationQuery,
): Boolean =
    when (val author = query.author) {
        is QueryAuthor.Operator -> true
        is QueryAuthor.TeamMember -> explanation.team == author.team
    }
