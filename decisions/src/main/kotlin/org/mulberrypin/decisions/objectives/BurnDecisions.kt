/**
 * Decides what is counted against the objectives, and makes the report on how fast the error budgets are spent. The
 * report of one instance can be merged from the counts of all; an instance that does not answer in time is named.
 */
package org.mulberrypin.decisions.objectives

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.surveys.SurveyResult
import org.mulberrypin.decisions.surveys.SurveyStep
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnReport
import org.mulberrypin.schema.generated.Team

/** The state at the start of the instance named [instance]. */
public fun burnState(
    instance: String,
    wallMilliseconds: Long,
    limits: ObjectiveLimits,
): BurnState = BurnState(instance, wallMilliseconds, EventLedger(limits))

/** Decides [event]. */
public fun decideBurn(
    state: BurnState,
    event: BurnEvent,
    nowMilliseconds: Long,
): Transition<BurnState, BurnEffect> =
    when (event) {
        is BurnEvent.Recorded -> {
            Transition(state.copy(ledger = state.ledger.record(event.event, event.wallMilliseconds)))
        }

        is BurnEvent.CountsAsked -> {
            Transition(state, listOf(BurnEffect.AnswerCounts(event.question, state.ownAnswer())))
        }

        is BurnEvent.ReportAsked -> {
            askReport(state, event, nowMilliseconds)
        }

        is BurnEvent.PeerAnswered -> {
            afterStep(state, state.questions.answer(event.question, event.peer, event.answer))
        }

        is BurnEvent.PeerFailed -> {
            afterStep(state, state.questions.fail(event.question, event.peer))
        }

        is BurnEvent.PeersChanged -> {
            Transition(state.copy(peers = event.peers))
        }

        is BurnEvent.TeamsChanged -> {
            Transition(state.copy(teams = event.teams.associateBy(Team::name)))
        }

        is BurnEvent.Tick -> {
            val forgetful = state.copy(ledger = state.ledger.forgetIdle(event.wallMilliseconds))
            afterStep(forgetful, forgetful.questions.expire(nowMilliseconds))
        }
    }

private fun askReport(
    state: BurnState,
    event: BurnEvent.ReportAsked,
    nowMilliseconds: Long,
): Transition<BurnState, BurnEffect> {
    val peers = if (event.everywhere) state.peers else emptyList()
    if (peers.isNotEmpty() && state.questions.isFull) {
        return Transition(state, listOf(BurnEffect.Refuse(event.question)))
    }
    val deadline = nowMilliseconds + state.ledger.limits.questionMilliseconds
    val opened = state.questions.open(event.question, event.wallMilliseconds, peers.map { it.name }, deadline)
    val asking = peers.map { peer -> BurnEffect.AskPeer(event.question, peer) }
    val following = afterStep(state, opened)
    return Transition(following.state, asking + following.effects)
}

private fun afterStep(
    state: BurnState,
    step: SurveyStep<Long, BurnAnswer>,
): Transition<BurnState, BurnEffect> =
    Transition(
        state.copy(questions = step.table),
        step.ended.map { result -> BurnEffect.AnswerReport(result.number, report(state, result)) },
    )

private fun report(
    state: BurnState,
    result: SurveyResult<Long, BurnAnswer>,
): BurnReport {
    val answers = listOf(state.ownAnswer()) + result.answers
    val lines = mergeCounts(answers.flatMap(BurnAnswer::counts))
        .map { (name, series) ->
            val team = state.teams[name.team] ?: Team(name.team)
            burnLine(name, series, team, result.subject, state.ledger.limits)
        }.sortedWith(compareBy({ it.budgetLeftRatio }, { it.team }, { it.route }))
    return BurnReport(
        wallMilliseconds = result.subject,
        countedFromWallMilliseconds = answers.minOf(BurnAnswer::countedFromWallMilliseconds),
        instances = answers.map(BurnAnswer::instance),
        missingInstances = result.missing,
        lines = lines,
    )
}

private fun BurnState.ownAnswer(): BurnAnswer =
    BurnAnswer(instance, countedFromWallMilliseconds, ledger.counts())
