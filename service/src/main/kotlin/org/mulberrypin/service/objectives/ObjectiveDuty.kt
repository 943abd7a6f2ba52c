/** The objective duty: counts measured requests and computes burn reports. Confined to its thread. */
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
    private val queryPeer: PeerCall<BurnQuestion, BurnAnswer>,
    private val offer: (ObjectiveInput) -> Boolean,
) {
    private var state = burnState(instance, clock.readWallMilliseconds(), limits)
    private var lastRequestNumber = 0L
    private val pendingReports = mutableMapOf<Long, (Outcome<BurnReport>) -> Unit>()
    private val pendingCounts = mutableMapOf<Long, (Outcome<BurnAnswer>) -> Unit>()

    fun handle(input: ObjectiveInput) {
        when (input) {
            is ObjectiveInput.Event -> {
                decide(input.event)
            }

            is ObjectiveInput.Report -> {
                lastRequestNumber += 1
                pendingReports[lastRequestNumber] = input.onOutcome
                decide(BurnEvent.ReportRequested(lastRequestNumber, input.includePeers, clock.readWallMilliseconds()))
            }

            is ObjectiveInput.Counts -> {
                lastRequestNumber += 1
                pendingCounts[lastRequestNumber] = input.onOutcome
                decide(BurnEvent.CountsRequested(lastRequestNumber))
            }
        }
    }

    fun tick() = decide(BurnEvent.Tick(clock.readWallMilliseconds()))

    private fun decide(event: BurnEvent) {
        val transition = decideBurn(state, event, clock.readMilliseconds())
        state = transition.state
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: BurnEffect) {
        when (effect) {
            is BurnEffect.QueryPeer -> sendQuery(effect)

            is BurnEffect.AnswerCounts -> pendingCounts.remove(effect.queryNumber)?.invoke(
                Outcome.Success(effect.answer),
            )

            is BurnEffect.AnswerReport -> pendingReports.remove(effect.queryNumber)?.invoke(
                Outcome.Success(effect.report),
            )

            is BurnEffect.Refuse -> pendingReports.remove(effect.queryNumber)?.invoke(burnReportOverload(instance))
        }
    }

    private fun sendQuery(effect: BurnEffect.QueryPeer) {
        queryPeer(effect.peer.address, limits.queryTimeoutMilliseconds, BurnQuestion(instance)) { outcome ->
            val event = when (outcome) {
                is Outcome.Success -> BurnEvent.PeerAnswered(effect.queryNumber, effect.peer.name, outcome.value)
                is Outcome.Failure -> BurnEvent.PeerFailed(effect.queryNumber, effect.peer.name)
            }
            offer(ObjectiveInput.Event(event))
        }
    }
}

/** The outcome of a request that is refused because too many are pending. */
internal fun burnReportOverload(instance: String): Outcome.Failure =
    Outcome.Failure(Fault("burn report", instance, FaultKind.NOT_RUN, "Too many reports are pending; retry later."))
