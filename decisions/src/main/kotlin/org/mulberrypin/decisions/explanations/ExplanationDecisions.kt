/**
 * Decides what is kept of the reasons for decisions, and answers questions about them. A caller's question is answered
 * from the records of the caller's own team alone; this holds at each instance that is asked and once more where the
 * answers are merged.
 */
package org.mulberrypin.decisions.explanations

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.surveys.SurveyResult
import org.mulberrypin.decisions.surveys.SurveyStep
import org.mulberrypin.schema.generated.Explanation

/** Decides [event]. */
public fun decideExplanations(
    state: ExplanationState,
    event: ExplanationEvent,
    nowMilliseconds: Long,
): Transition<ExplanationState, ExplanationEffect> =
    when (event) {
        is ExplanationEvent.Recorded -> {
            Transition(state.copy(book = state.book.add(event.explanation)))
        }

        is ExplanationEvent.Asked -> {
            ask(state, event, nowMilliseconds)
        }

        is ExplanationEvent.PeerAnswered -> {
            afterStep(state, state.questions.answer(event.question, event.peer, event.explanations))
        }

        is ExplanationEvent.PeerFailed -> {
            afterStep(state, state.questions.fail(event.question, event.peer))
        }

        is ExplanationEvent.PeersChanged -> {
            Transition(state.copy(peers = event.peers))
        }

        is ExplanationEvent.Tick -> {
            afterStep(state, state.questions.expire(nowMilliseconds))
        }
    }

private fun ask(
    state: ExplanationState,
    event: ExplanationEvent.Asked,
    nowMilliseconds: Long,
): Transition<ExplanationState, ExplanationEffect> {
    val peers = if (event.everywhere) state.peers else emptyList()
    if (peers.isNotEmpty() && state.questions.isFull) {
        return Transition(state, listOf(ExplanationEffect.Refuse(event.question)))
    }
    val deadline = nowMilliseconds + state.book.limits.questionMilliseconds
    val opened = state.questions.open(event.question, event.query, peers.map { it.name }, deadline)
    val asking = peers.map { peer -> ExplanationEffect.AskPeer(event.question, peer, event.query) }
    val following = afterStep(state, opened)
    return Transition(following.state, asking + following.effects)
}

private fun afterStep(
    state: ExplanationState,
    step: SurveyStep<ExplanationQuery, List<Explanation>>,
): Transition<ExplanationState, ExplanationEffect> =
    Transition(state.copy(questions = step.table), step.ended.map { result -> answer(state, result) })

private fun answer(
    state: ExplanationState,
    result: SurveyResult<ExplanationQuery, List<Explanation>>,
): ExplanationEffect {
    val foreign = result.answers.flatten().filter { explanation -> isVisible(explanation, result.subject) }
    val merged = newest(state.book.find(result.subject) + foreign, state.book.limits.answerRecords)
    return ExplanationEffect.Answer(result.number, merged, result.missing)
}

private fun isVisible(
    explanation: Explanation,
    query: ExplanationQuery,
): Boolean =
    when (val asker = query.asker) {
        is Asker.Operator -> true
        is Asker.TeamMember -> explanation.team == asker.team
    }
