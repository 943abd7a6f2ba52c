/** Carries out what is decided about the burn report. Used by the thread of one duty only. */
package org.mulberrypin.service.objectives

import org.mulberrypin.decisions.objectives.BurnEffect
import org.mulberrypin.decisions.objectives.BurnEvent
import org.mulberrypin.decisions.objectives.ObjectiveLimits
import org.mulberrypin.decisions.objectives.burnState
import org.mulberrypin.decisions.objectives.decideBurn
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnQuestion
import org.mulberrypin.schema.generated.BurnReport
import org.mulberrypin.service.peers.PeerCall

internal class ObjectiveDuty(
    private val instance: String,
    private val clock: ServiceClock,
    private val limits: ObjectiveLimits,
    private val askPeer: PeerCall<BurnQuestion, BurnAnswer>,
    private val offer: (ObjectiveWork) -> Boolean,
) {
    private var state = burnState(instance, clock.readWallMilliseconds(), limits)
    private var lastQuestion = 0L
    private val operators = mutableMapOf<Long, (Outcome<BurnReport>) -> Unit>()
    private val peers = mutableMapOf<Long, (Outcome<BurnAnswer>) -> Unit>()

    fun handle(work: ObjectiveWork) {
        when (work) {
            is ObjectiveWork.Notice -> {
                decide(work.event)
            }

            is ObjectiveWork.Report -> {
                lastQuestion += 1
                operators[lastQuestion] = work.onOutcome
                decide(BurnEvent.ReportAsked(lastQuestion, work.everywhere, clock.readWallMilliseconds()))
            }

            is ObjectiveWork.Counts -> {
                lastQuestion += 1
                peers[lastQuestion] = work.onOutcome
                decide(BurnEvent.CountsAsked(lastQuestion))
            }
        }
    }

    fun tick() = decide(BurnEvent.Tick(clock.readWallMilliseconds()))

    private fun decide(event: BurnEvent) {
        val transition = decideBurn(state, event, clock.readMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
    }

    private fun perform(effect: BurnEffect) {
        when (effect) {
            is BurnEffect.AskPeer -> ask(effect)
            is BurnEffect.AnswerCounts -> peers.remove(effect.question)?.invoke(Outcome.Success(effect.answer))
            is BurnEffect.AnswerReport -> operators.remove(effect.question)?.invoke(Outcome.Success(effect.report))
            is BurnEffect.Refuse -> operators.remove(effect.question)?.invoke(busyObjectives(instance))
        }
    }

    private fun ask(effect: BurnEffect.AskPeer) {
        askPeer(effect.peer.address, limits.questionMilliseconds, BurnQuestion(instance)) { outcome ->
            val event = when (outcome) {
                is Outcome.Success -> BurnEvent.PeerAnswered(effect.question, effect.peer.name, outcome.value)
                is Outcome.Failure -> BurnEvent.PeerFailed(effect.question, effect.peer.name)
            }
            offer(ObjectiveWork.Notice(event))
        }
    }
}

/** The outcome of a question for which there is no room. */
internal fun busyObjectives(instance: String): Outcome.Failure =
    Outcome.Failure(Fault("burn report", instance, FaultKind.NOT_RUN, "Too many reports are waiting; ask again later."))
