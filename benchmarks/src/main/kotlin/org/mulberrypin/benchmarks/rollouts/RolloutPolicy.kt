package org.mulberrypin.benchmarks.rollouts

import org.mulberrypin.decisions.rollouts.GroupOrder
import org.mulberrypin.decisions.rollouts.InstanceOrder
import org.mulberrypin.decisions.rollouts.RunnerPolicy
import org.mulberrypin.decisions.rollouts.StepPolicy
import org.mulberrypin.decisions.rollouts.earliestEnd
import org.mulberrypin.decisions.rollouts.fewestSamples
import org.mulberrypin.decisions.rollouts.firstComeFirstServed
import org.mulberrypin.decisions.rollouts.longestFirst

/**
 * A policy to be compared.
 *
 * @property overSamplingRatio additional samples, as a ratio of the requested samples
 */
internal data class RolloutPolicy(
    val name: String,
    val order: GroupOrder,
    val instanceOrder: InstanceOrder,
    val overSamplingRatio: Double,
    val slots: Int,
    val inFlightSamples: Int,
) {
    val runner = RunnerPolicy(
        sampleLimit = slots,
        sampleFailureLimit = MAX_ATTEMPTS,
        longestRequestMilliseconds = MAX_REQUEST_MILLISECONDS,
        order = order,
    )

    /** The step policy of the instance named [instance]. */
    fun step(instance: String) =
        StepPolicy(
            instance = instance,
            incarnation = 1,
            batchGroups = BATCH_GROUPS,
            groupAttemptLimit = MAX_ATTEMPTS,
            overSamplingRatio = overSamplingRatio,
            inFlightSamples = inFlightSamples,
            leaseMilliseconds = LEASE_MILLISECONDS,
            renewalMilliseconds = LEASE_MILLISECONDS / 3,
            order = order,
            instanceOrder = instanceOrder,
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
        RolloutPolicy("first come", firstComeFirstServed, fewestSamples, 0.0, scenario.slots, inFlight),
        RolloutPolicy("by instance", firstComeFirstServed, earliestEnd, 0.0, scenario.slots, inFlight),
        RolloutPolicy("by length too", longestFirst, earliestEnd, 0.0, scenario.slots, inFlight),
        RolloutPolicy("chosen", longestFirst, earliestEnd, 0.1, scenario.slots, inFlight),
    )
}

private const val IN_FLIGHT_PERCENT = 110
private const val PERCENT = 100
