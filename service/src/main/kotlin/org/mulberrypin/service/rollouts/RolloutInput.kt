package org.mulberrypin.service.rollouts

import org.mulberrypin.decisions.rollouts.RunnerEvent
import org.mulberrypin.decisions.rollouts.StepEvent
import org.mulberrypin.decisions.rollouts.TrainerAsk
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.InstanceEntry

/** What the step duty takes from its ring. */
internal sealed interface RolloutInput {
    /** A call of a trainer, which gets its number from the duty. */
    data class TrainerCall(
        val numbered: (Long) -> TrainerAsk,
        val onAnswer: (BatchAnswer) -> Unit,
    ) : RolloutInput

    /** A call of a holder of a step, on another instance or this one. */
    data class GroupCall(
        val assignment: GroupAssignment,
        val onOutcome: (Outcome<GroupResult>) -> Unit,
    ) : RolloutInput

    /** An event for the decisions about steps. */
    data class Step(
        val event: StepEvent,
    ) : RolloutInput

    /** An event for the decisions about generating groups. */
    data class Runner(
        val event: RunnerEvent,
    ) : RolloutInput

    /** The list of instances changed. */
    data class Instances(
        val instances: List<InstanceEntry>,
    ) : RolloutInput

    /** This instance starts to shut down. */
    data object Drain : RolloutInput
}
