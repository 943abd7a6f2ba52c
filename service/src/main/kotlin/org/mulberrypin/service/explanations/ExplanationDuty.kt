/** Carries out what is decided about explanations. Used by the thread of one duty only. */
package org.mulberrypin.service.explanations

import org.mulberrypin.decisions.explanations.Asker
import org.mulberrypin.decisions.explanations.ExplanationEffect
import org.mulberrypin.decisions.explanations.ExplanationEvent
import org.mulberrypin.decisions.explanations.ExplanationLimits
import org.mulberrypin.decisions.explanations.decideExplanations
import org.mulberrypin.decisions.explanations.explanationState
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.schema.generated.ExplanationQuestion
import org.mulberrypin.service.peers.PeerCall

internal class ExplanationDuty(
    private val instance: String,
    private val clock: ServiceClock,
    private val limits: ExplanationLimits,
    private val askPeer: PeerCall<ExplanationQuestion, ExplanationAnswer>,
    private val offer: (ExplanationWork) -> Boolean,
) {
    private var state = explanationState(limits)
    private var lastQuestion = 0L
    private val askers = mutableMapOf<Long, (Outcome<ExplanationAnswer>) -> Unit>()

    fun handle(work: ExplanationWork) {
        when (work) {
            is ExplanationWork.Notice -> {
                decide(work.event)
            }

            is ExplanationWork.Question -> {
                lastQuestion += 1
                askers[lastQuestion] = work.onOutcome
                decide(ExplanationEvent.Asked(lastQuestion, work.query, work.everywhere))
            }
        }
    }

    fun tick() = decide(ExplanationEvent.Tick)

    private fun decide(event: ExplanationEvent) {
        val transition = decideExplanations(state, event, clock.readMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
    }

    private fun perform(effect: ExplanationEffect) {
        when (effect) {
            is ExplanationEffect.AskPeer -> {
                ask(effect)
            }

            is ExplanationEffect.Answer -> {
                val answer = ExplanationAnswer(effect.explanations, effect.missing)
                askers.remove(effect.question)?.invoke(Outcome.Success(answer))
            }

            is ExplanationEffect.Refuse -> {
                askers.remove(effect.question)?.invoke(busyExplanations(instance))
            }
        }
    }

    private fun ask(effect: ExplanationEffect.AskPeer) {
        val team = (effect.query.asker as? Asker.TeamMember)?.team.orEmpty()
        val question = ExplanationQuestion(effect.query.subject, effect.query.name, team)
        askPeer(effect.peer.address, limits.questionMilliseconds, question) { outcome ->
            val event = when (outcome) {
                is Outcome.Success -> {
                    ExplanationEvent.PeerAnswered(effect.question, effect.peer.name, outcome.value.explanations)
                }

                is Outcome.Failure -> {
                    ExplanationEvent.PeerFailed(effect.question, effect.peer.name)
                }
            }
            offer(ExplanationWork.Notice(event))
        }
    }
}

/** The outcome of a question for which there is no room. */
internal fun busyExplanations(instance: String): Outcome.Failure =
    Outcome.Failure(Fault("explain", instance, FaultKind.NOT_RUN, "Too many questions are waiting; ask again later."))
