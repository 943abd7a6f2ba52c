/** The step duty: hands events to the decisions and carries out their effects. All state belongs to its thread. */
package org.mulberrypin.service.rollouts

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.rollouts.RunnerEffect
import org.mulberrypin.decisions.rollouts.RunnerEvent
import org.mulberrypin.decisions.rollouts.RunnerPolicy
import org.mulberrypin.decisions.rollouts.RunnerState
import org.mulberrypin.decisions.rollouts.StepEffect
import org.mulberrypin.decisions.rollouts.StepEvent
import org.mulberrypin.decisions.rollouts.StepKey
import org.mulberrypin.decisions.rollouts.StepState
import org.mulberrypin.decisions.rollouts.runnerDecision
import org.mulberrypin.decisions.rollouts.stepDecision
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupChange
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.EntryContext
import org.mulberrypin.service.requests.RequestPart
import org.mulberrypin.service.requests.RequestSubmission

internal class RolloutLoop(
    private val context: EntryContext,
    private val requests: RequestPart,
    private val inbox: RolloutInbox,
    private val storeRing: BoundedRing<StoreTask>,
    private val scoreRing: BoundedRing<ScoreTask>,
) {
    private val self = context.settings.instance.name
    private val decideStep = stepDecision(stepPolicyOf(context.settings, context.incarnation))
    private val decideRunner = runnerDecision(runnerPolicyOf(context.settings, context.incarnation))
    private val answers = HashMap<Long, (BatchAnswer) -> Unit>()
    private val groupCalls = HashMap<Long, (Outcome<GroupResult>) -> Unit>()
    private var steps = StepState()
    private var runner = RunnerState()
    private var peers = emptyMap<String, InstanceEntry>()
    private var nextCall = 1L

    @Volatile
    private var groups = 0

    fun groupsUnderWay(): Int = groups

    fun handle(input: RolloutInput) {
        when (input) {
            is RolloutInput.TrainerCall -> {
                val number = nextCall++
                answers[number] = input.onAnswer
                step(StepEvent.Asked(input.numbered(number)))
            }

            is RolloutInput.GroupCall -> {
                runGroup(input.assignment, input.onOutcome)
            }

            is RolloutInput.Step -> {
                step(input.event)
            }

            is RolloutInput.Runner -> {
                run(input.event)
            }

            is RolloutInput.Instances -> {
                changeInstances(input.instances)
            }

            is RolloutInput.Drain -> {
                step(StepEvent.Drain)
                run(RunnerEvent.Drain)
            }
        }
    }

    fun tick() {
        inbox.takeOverflow().forEach { input ->
            if (input is RolloutInput.Runner && input.event is RunnerEvent.Replied) {
                requests.cancel(input.event.request)
            }
            handle(input)
        }
        step(StepEvent.Tick)
        run(RunnerEvent.Tick)
    }

    private fun changeInstances(instances: List<InstanceEntry>) {
        peers = instances.associateBy { it.name }
        val usable = instances.filter { !it.leaving }.associate { it.name to it.incarnation }
        step(StepEvent.InstancesChanged(usable + (self to context.incarnation)))
    }

    private fun step(event: StepEvent) {
        val transition = decideStep(steps, event, context.clock.readMilliseconds())
        steps = transition.state
        transition.effects.forEach(::carryOut)
    }

    private fun run(event: RunnerEvent) {
        val transition = decideRunner(runner, event, context.clock.readMilliseconds())
        runner = transition.state
        groups = runner.groups.size
        transition.effects.forEach(::carryOut)
    }

    private fun carryOut(effect: StepEffect) {
        when (effect) {
            is StepEffect.Answer -> answers.remove(effect.ask)?.invoke(effect.answer)

            is StepEffect.PassOn -> passOn(effect)

            is StepEffect.AssignGroup -> assign(effect)

            is StepEffect.Explain -> explain(effect)

            else -> if (!storeRing.offer(StoreTask(effect))) {
                outcomeOfRefused(effect)?.let { inbox.deliver(RolloutInput.Step(it)) }
            }
        }
    }

    private fun passOn(effect: StepEffect.PassOn) {
        val address = peers[effect.instance]?.peerAddress
        if (address == null) {
            inbox.deliver(RolloutInput.Step(StepEvent.PassOnEnded(effect.ask, answer = null)))
            return
        }
        context.peers.nextBatch(address, PASS_ON_TIMEOUT_MILLISECONDS, effect.request) { outcome ->
            val answer = (outcome as? Outcome.Success)?.value
            inbox.deliver(RolloutInput.Step(StepEvent.PassOnEnded(effect.ask, answer)))
        }
    }

    private fun assign(effect: StepEffect.AssignGroup) {
        val assignment = effect.assignment
        val onOutcome = { outcome: Outcome<GroupResult> ->
            if (assignment.change == GroupChange.START) {
                inbox.deliver(RolloutInput.Step(groupEnded(assignment, (outcome as? Outcome.Success)?.value)))
            }
        }
        val address = peers[effect.instance]?.peerAddress
        when {
            effect.instance == self -> {
                inbox.deliver(RolloutInput.GroupCall(assignment, onOutcome))
            }

            address == null && assignment.change == GroupChange.START -> {
                inbox.deliver(RolloutInput.Step(groupEnded(assignment, result = null)))
            }

            address != null -> {
                context.peers.runGroup(address, timeoutOf(assignment), assignment, onOutcome)
            }
        }
    }

    private fun timeoutOf(assignment: GroupAssignment): Long =
        assignment.deadlineMilliseconds.takeIf { it > 0 } ?: context.settings.requests.longestRequestMilliseconds

    private fun groupEnded(
        assignment: GroupAssignment,
        result: GroupResult?,
    ) = StepEvent.GroupEnded(
        key = StepKey(assignment.team, assignment.trainer, assignment.step),
        fencingNumber = assignment.fencingNumber,
        group = assignment.group.group,
        attempt = assignment.attempt,
        result = result,
    )

    private fun runGroup(
        assignment: GroupAssignment,
        onOutcome: (Outcome<GroupResult>) -> Unit,
    ) {
        val call = nextCall++
        if (assignment.change == GroupChange.START) {
            groupCalls[call] = onOutcome
        } else {
            onOutcome(Outcome.Success(GroupResult()))
        }
        run(RunnerEvent.Assigned(call, assignment))
    }

    private fun carryOut(effect: RunnerEffect) {
        when (effect) {
            is RunnerEffect.Submit -> submit(effect)

            is RunnerEffect.Cancel -> requests.cancel(effect.request)

            is RunnerEffect.AnswerGroup -> groupCalls.remove(effect.call)?.invoke(Outcome.Success(effect.result))

            is RunnerEffect.Score -> if (!scoreRing.offer(ScoreTask(effect.request, effect.group, effect.text))) {
                inbox.deliver(RolloutInput.Runner(RunnerEvent.Scored(effect.request, score = null)))
            }
        }
    }

    private fun submit(effect: RunnerEffect.Submit) {
        val request = effect.arrival.request
        val submission = RequestSubmission(effect.arrival, effect.content) { inbox.deliverReply(request, it) }
        if (!requests.submit(submission)) {
            inbox.deliver(RolloutInput.Runner(RunnerEvent.NotTaken(request)))
        }
    }

    private fun explain(effect: StepEffect.Explain) {
        logger.info("{} {}: {}", effect.key.owner, effect.key.step, effect.reason)
        val name = listOf(effect.key.trainer, effect.key.step, effect.group).filter { it.isNotEmpty() }
        context.explain(
            Explanation(
                wallMilliseconds = context.clock.readWallMilliseconds(),
                instance = self,
                subject = "sample",
                name = name.joinToString("/"),
                team = effect.key.team,
                step = effect.key.step,
                peer = effect.peer,
                reason = effect.reason,
            ),
        )
    }

    private companion object {
        private val logger = LogManager.getLogger("rollouts")
        private const val PASS_ON_TIMEOUT_MILLISECONDS = 5000L
    }
}
