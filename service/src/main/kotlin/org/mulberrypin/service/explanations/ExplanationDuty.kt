/** The explanation duty: records explanations and answers queries about them. Confined to its thread. */
package org.mulberrypin.service.explanations

import org.mulberrypin.decisions.explanations.ExplanationEffect
import org.mulberrypin.decisions.explanations.ExplanationEvent
import org.mulberrypin.decisions.explanations.ExplanationLimits
import org.mulberrypin.decisions.explanations.QueryAuthor
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
    private val queryPeer: PeerCall<ExplanationQuestion, ExplanationAnswer>,
    private val offer: (ExplanationInput) -> Boolean,
) {
    private var state = explanationState(limits)
    private var lastQueryNumber = 0L
    private val pendingQueries = mutableMapOf<Long, (Outcome<ExplanationAnswer>) -> Unit>()

    fun handle(input: ExplanationInput) {
        when (input) {
            is ExplanationInput.Event -> {
                decide(input.event)
            }

            is ExplanationInput.Query -> {
                lastQueryNumber += 1
                pendingQueries[lastQueryNumber] = input.onOutcome
                decide(ExplanationEvent.QueryReceived(lastQueryNumber, input.query, input.includePeers))
            }
        }
    }

    fun tick() = decide(ExplanationEvent.Tick)

    private fun decide(event: ExplanationEvent) {
        val transition = decideExplanations(state, event, clock.readMilliseconds())
        state = transition.state
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: ExplanationEffect) {
        when (effect) {
            is ExplanationEffect.QueryPeer -> {
                sendQuery(effect)
            }

            is ExplanationEffect.Answer -> {
                val answer = ExplanationAnswer(effect.explanations, effect.missing)
                pendingQueries.remove(effect.queryNumber)?.invoke(Outcome.Success(answer))
            }

            is ExplanationEffect.Refuse -> {
                pendingQueries.remove(effect.queryNumber)?.invoke(explanationOverload(instance))
            }
        }
    }

    private fun sendQuery(effect: ExplanationEffect.QueryPeer) {
        val team = (effect.query.author as? QueryAuthor.TeamMember)?.team.orEmpty()
        val question = ExplanationQuestion(effect.query.subject, effect.query.name, team)
        queryPeer(effect.peer.address, limits.queryTimeoutMilliseconds, question) { outcome ->
            val event = when (outcome) {
                is Outcome.Success -> {
                    ExplanationEvent.PeerAnswered(effect.queryNumber, effect.peer.name, outcome.value.explanations)
                }

                is Outcome.Failure -> {
                    ExplanationEvent.PeerFailed(effect.queryNumber, effect.peer.name)
                }
            }
            offer(ExplanationInput.Event(event))
        }
    }
}

/** The outcome of a query that is refused because too many are pending. */
internal fun explanationOverload(instance: String): Outcome.Failure =
    Outcome.Failure(Fault("explain", instance, FaultKind.NOT_RUN, "Too many queries are pending; retry later."))
