/** The step duty: passes events to the decisions and executes their effects. Its state is confined to its thread. */
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

internal class RolloutDuty(
    private val context: EntryContext,
    private val requests: RequestPart,
    private val inbox: RolloutInbox,
    private val storeRing: BoundedRing<StoreTask>,
    private val scoreRing: BoundedRing<ScoreTask>,
) {
    private val self = context.settings.instance.name
    private val decideStep = stepDecision(stepPolicyFrom(context.settings, context.incarnation))
    private val decideRunner = runnerDecision(runnerPolicyFrom(context.settings, context.incarnation))
    private val trainerCallbacks = HashMap<Long, (BatchAnswer) -> Unit>()
    private val groupCallbacks = HashMap<Long, (Outcome<GroupResult>) -> Unit>()
    private var stepState = StepState()
    private var runnerState = RunnerState()
    private var peers = emptyMap<String, InstanceEntry>()
    private var nextCallNumber = 1L

    @Volatile
    private var runningGroups = 0

    /** Number of groups that this instance is generating; safe on any thread. */
    fun groupsInProgress(): Int = runningGroups

    fun handle(input: RolloutInput) {
        when (input) {
            is RolloutInput.StepCall -> {
                val number = nextCallNumber++
                trainerCallbacks[number] = input.onResponse
                handleStepEvent(StepEvent.CallReceived(input.createCall(number)))
            }

            is RolloutInput.GroupCall -> {
                runGroup(input.assignment, input.onOutcome)
            }

            is RolloutInput.Step -> {
                handleStepEvent(input.event)
            }

            is RolloutInput.Runner -> {
                handleRunnerEvent(input.event)
            }

            is RolloutInput.Instances -> {
                updateInstances(input.instances)
            }

            is RolloutInput.Drain -> {
                handleStepEvent(StepEvent.Drain)
                handleRunnerEvent(RunnerEvent.Drain)
            }
        }
    }

    fun tick() {
        inbox.drainOverflow().forEach { input ->
            if (input is RolloutInput.Runner && input.event is RunnerEvent.Replied) {
                requests.cancel(input.event.request)
            }
            handle(input)
        }
        handleStepEvent(StepEvent.Tick)
        handleRunnerEvent(RunnerEvent.Tick)
    }

    private fun updateInstances(instances: List<InstanceEntry>) {
        peers = instances.associateBy { it.name }
        val usable = instances.filter { !it.leaving }.associate { it.name to it.incarnation }
        handleStepEvent(StepEvent.InstancesChanged(usable + (self to context.incarnation)))
    }

    private fun handleStepEvent(event: StepEvent) {
        val transition = decideStep(stepState, event, context.clock.readMilliseconds())
        stepState = transition.state
        transition.effects.forEach(::execute)
    }

    private fun handleRunnerEvent(event: RunnerEvent) {
        val transition = decideRunner(runnerState, event, context.clock.readMilliseconds())
        runnerState = transition.state
        runningGroups = runnerState.groups.size
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: StepEffect) {
        when (effect) {
            is StepEffect.Answer -> trainerCallbacks.remove(effect.callNumber)?.invoke(effect.answer)

            is StepEffect.ForwardCall -> forwardToHolder(effect)

            is StepEffect.AssignGroup -> assignGroup(effect)

            is StepEffect.Explain -> explain(effect)

            else -> if (!storeRing.offer(StoreTask(effect))) {
                failureEventOf(effect)?.let { inbox.deliver(RolloutInput.Step(it)) }
            }
        }
    }

    private fun forwardToHolder(effect: StepEffect.ForwardCall) {
        val address = peers[effect.instance]?.peerAddress
        if (address == null) {
            inbox.deliver(RolloutInput.Step(StepEvent.ForwardEnded(effect.callNumber, answer = null)))
            return
        }
        context.peers.nextBatch(address, FORWARD_TIMEOUT_MILLISECONDS, effect.request) { outcome ->
            val answer = (outcome as? Outcome.Success)?.value
            inbox.deliver(RolloutInput.Step(StepEvent.ForwardEnded(effect.callNumber, answer)))
        }
    }

    private fun assignGroup(effect: StepEffect.AssignGroup) {
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
        val call = nextCallNumber++
        if (assignment.change == GroupChange.START) {
            groupCallbacks[call] = onOutcome
        } else {
            onOutcome(Outcome.Success(GroupResult()))
        }
        handleRunnerEvent(RunnerEvent.Assigned(call, assignment))
    }

    private fun execute(effect: RunnerEffect) {
        when (effect) {
            is RunnerEffect.Submit -> submit(effect)

            is RunnerEffect.Cancel -> requests.cancel(effect.request)

            is RunnerEffect.AnswerGroup -> groupCallbacks.remove(effect.call)?.invoke(Outcome.Success(effect.result))

            is RunnerEffect.Score -> if (!scoreRing.offer(ScoreTask(effect.request, effect.group, effect.text))) {
                inbox.deliver(RolloutInput.Runner(RunnerEvent.Scored(effect.request, score = null)))
            }
        }
    }

    private fun submit(effect: RunnerEffect.Submit) {
        val request = effect.arrival.request
        val submission = RequestSubmission(effect.arrival, effect.content) { inbox.deliverReply(request, it) }
        if (!requests.submit(submission)) {
            inbox.deliver(RolloutInput.Runner(RunnerEvent.NotAccepted(request)))
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
        private const val FORWARD_TIMEOUT_MILLISECONDS = 5000L
    }
}
