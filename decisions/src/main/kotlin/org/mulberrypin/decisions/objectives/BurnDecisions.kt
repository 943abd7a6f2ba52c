/**
 * Counts events against the latency objectives and creates burn reports, which show how fast error budgets are
 * consumed. A report covers this instance alone or the merged counts of all instances; it names the instances that did
 * not answer in time.
 */
package org.mulberrypin.decisions.objectives

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.surveys.PeerQueryResult
import org.mulberrypin.decisions.surveys.PeerQueryTransition
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnReport
import org.mulberrypin.schema.generated.Team

/** Creates the initial state; [wallMilliseconds] is the start of counting, in milliseconds since the Unix epoch. */
public fun burnState(
    instance: String,
    wallMilliseconds: Long,
    limits: ObjectiveLimits,
): BurnState = BurnState(instance, wallMilliseconds, EventCounters(limits))

/** Returns the next state and the effects of [event] at [nowMilliseconds] by the clock of this process. */
public fun decideBurn(
    state: BurnState,
    event: BurnEvent,
    nowMilliseconds: Long,
): Transition<BurnState, BurnEffect> =
    when (event) {
        is BurnEvent.Recorded -> {
            Transition(state.copy(counters = state.counters.record(event.event, event.wallMilliseconds)))
        }

        is BurnEvent.CountsRequested -> {
            Transition(state, listOf(BurnEffect.AnswerCounts(event.queryNumber, state.localAnswer())))
        }

        is BurnEvent.ReportRequested -> {
            startReport(state, event, nowMilliseconds)
        }

        is BurnEvent.PeerAnswered -> {
            applyStep(state, state.queries.addResponse(event.queryNumber, event.peer, event.answer))
        }

        is BurnEvent.PeerFailed -> {
            applyStep(state, state.queries.fail(event.queryNumber, event.peer))
        }

        is BurnEvent.PeersChanged -> {
            Transition(state.copy(peers = event.peers))
        }

        is BurnEvent.TeamsChanged -> {
            Transition(state.copy(teams = event.teams.associateBy(Team::name)))
        }

        is BurnEvent.Tick -> {
            val trimmed = state.copy(counters = state.counters.removeIdle(event.wallMilliseconds))
            applyStep(trimmed, trimmed.queries.expire(nowMilliseconds))
        }
    }

private fun startReport(
    state: BurnState,
    event: BurnEvent.ReportRequested,
    nowMilliseconds: Long,
): Transition<BurnState, BurnEffect> {
    val peers = if (event.includePeers) state.peers else emptyList()
    if (peers.isNotEmpty() && state.queries.isFull) {
        return Transition(state, listOf(BurnEffect.Refuse(event.queryNumber)))
    }
    val deadline = nowMilliseconds + state.counters.limits.queryTimeoutMilliseconds
    val opened = state.queries.start(event.queryNumber, event.wallMilliseconds, peers.map { it.name }, deadline)
    val peerRequests = peers.map { peer -> BurnEffect.QueryPeer(event.queryNumber, peer) }
    val answered = applyStep(state, opened)
    return Transition(answered.state, peerRequests + answered.effects)
}

private fun applyStep(
    state: BurnState,
    transition: PeerQueryTransition<Long, BurnAnswer>,
): Transition<BurnState, BurnEffect> =
    Transition(
        state.copy(queries = transition.table),
        transition.ended.map { result -> BurnEffect.AnswerReport(result.number, createReport(state, result)) },
    )

private fun createReport(
    state: BurnState,
    result: PeerQueryResult<Long, BurnAnswer>,
): BurnReport {
    val answers = listOf(state.localAnswer()) + result.responses
    val lines = mergeCounts(answers.flatMap(BurnAnswer::counts))
        .map { (name, series) ->
            val team = state.teams[name.team] ?: Team(name.team)
            burnLine(name, series, team, result.subject, state.counters.limits)
        }.sortedWith(compareBy({ it.budgetLeftRatio }, { it.team }, { it.route }))
    return BurnReport(
        wallMilliseconds = result.subject,
        countedFromWallMilliseconds = answers.minOf(BurnAnswer::countedFromWallMilliseconds),
        instances = answers.map(BurnAnswer::instance),
        missingInstances = result.missing,
        lines = lines,
    )
}

private fun BurnState.localAnswer(): BurnAnswer =
    BurnAnswer(instance, countedFromWallMilliseconds, counters.counts())
