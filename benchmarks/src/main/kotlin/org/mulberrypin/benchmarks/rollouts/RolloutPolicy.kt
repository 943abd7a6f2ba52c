package org.mulberrypin.benchmarks.rollouts

import org.mulberrypin.decisions.rollouts.GroupSelector
import org.mulberrypin.decisions.rollouts.InstanceSelector
import org.mulberrypin.decisions.rollouts.RunnerPolicy
import org.mulberrypin.decisions.rollouts.StepPolicy
import org.mulberrypin.decisions.rollouts.earliestCompletion
import org.mulberrypin.decisions.rollouts.firstComeFirstServed
import org.mulberrypin.decisions.rollouts.leastLoaded
import org.mulberrypin.decisions.rollouts.longestFirst

/**
 * A policy to be compared.
 *
 * @property overSamplingRatio additional samples, as a ratio of the requested samples
 */
internal data class RolloutPolicy(
    val name: String,
    val groupSelector: GroupSelector,
    val instanceSelector: InstanceSelector,
    val overSamplingRatio: Double,
    val slots: Int,
    val sampleInFlightLimit: Int,
) {
    val runner = RunnerPolicy(
        sampleInFlightLimit = slots,
        sampleFailureLimit = MAX_ATTEMPTS,
        longestRequestMilliseconds = MAX_REQUEST_MILLISECONDS,
        groupSelector = groupSelector,
    )

    /** The step policy of the instance named [instance]. */
    fun step(instance: String) =
        StepPolicy(
            instance = instance,
            incarnation = 1,
            batchGroups = BATCH_GROUPS,
            groupAttemptLimit = MAX_ATTEMPTS,
            overSamplingRatio = overSamplingRatio,
            sampleInFlightLimit = sampleInFlightLimit,
            leaseMilliseconds = LEASE_MILLISECONDS,
            renewalMilliseconds = LEASE_MILLISECONDS / 3,
            groupSelector = groupSelector,
            instanceSelector = instanceSelector,
        )

    private companion object {
        const val MAX_ATTEMPTS = 8
        const val MAX_REQUEST_MILLISECONDS = 1_500_000L
        const val BATCH_GROUPS = 16
        const val LEASE_MILLISECONDS = 9_090L
    }
}

/** The baseline, the chosen policy, and intermediate policies that show the effect of each of its parts. */
internal fun comparedPolicies(scenario: RolloutScenario): List<RolloutPolicy> {
    val inFlight = scenario.slots * scenario.instances * IN_FLIGHT_PERCENT / (scenario.trainers * PERCENT)
    return listOf(
        RolloutPolicy("first come", firstComeFirstServed, leastLoaded, 0.0, scenario.slots, inFlight),
        RolloutPolicy("by instance", firstComeFirstServed, earliestCompletion, 0.0, scenario.slots, inFlight),
        RolloutPolicy("by length too", longestFirst, earliestCompletion, 0.0, scenario.slots, inFlight),
        RolloutPolicy("chosen", longestFirst, earliestCompletion, 0.1, scenario.slots, inFlight),
    )
}

private const val IN_FLIGHT_PERCENT = 110
private const val PERCENT = 100
