package org.mulberrypin.service.rollouts

import org.mulberrypin.decisions.rollouts.RunnerEvent
import org.mulberrypin.decisions.rollouts.StepEvent
import org.mulberrypin.decisions.rollouts.TrainerCall
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.InstanceEntry

/** Elements of the step duty's ring. */
internal sealed interface RolloutInput {
    /** A trainer's call; the duty assigns its number and passes it to [createCall]. */
    data class StepCall(
        val createCall: (Long) -> TrainerCall,
        val onResponse: (BatchAnswer) -> Unit,
    ) : RolloutInput

    /** A call to start, raise or cancel a group, from the instance that holds the step, which may be this one. */
    data class GroupCall(
        val assignment: GroupAssignment,
        val onOutcome: (Outcome<GroupResult>) -> Unit,
    ) : RolloutInput

    /** An event for the step decision. */
    data class Step(
        val event: StepEvent,
    ) : RolloutInput

    /** An event for the runner decision, which generates groups. */
    data class Runner(
        val event: RunnerEvent,
    ) : RolloutInput

    /** The list of instances changed. */
    data class Instances(
        val instances: List<InstanceEntry>,
    ) : RolloutInput

    /** This instance is about to shut down. */
    data object Drain : RolloutInput
}
