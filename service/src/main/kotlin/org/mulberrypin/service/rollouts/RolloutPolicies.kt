/** The policies of the rollout decisions, from the settings of the instance. */
package org.mulberrypin.service.rollouts

import org.mulberrypin.decisions.rollouts.RunnerPolicy
import org.mulberrypin.decisions.rollouts.StepPolicy
import org.mulberrypin.schema.generated.EntrySettings
import kotlin.math.ceil

/**
 * The step policy for [settings]. The lease duration is lengthened by the clock rate bound, so that another instance
 * with a faster clock does not take over a step too early.
 */
internal fun stepPolicyFrom(
    settings: EntrySettings,
    incarnation: Long,
): StepPolicy =
    StepPolicy(
        instance = settings.instance.name,
        incarnation = incarnation,
        batchGroups = settings.rollouts.batchGroups,
        groupAttemptLimit = settings.rollouts.groupAttemptLimit,
        overSamplingRatio = settings.rollouts.overSamplingRatio,
        sampleInFlightLimit = settings.rollouts.inFlightSamples,
        leaseMilliseconds = ceil(settings.leases.durationMilliseconds * (1 + settings.leases.clockRateBound)).toLong(),
        renewalMilliseconds = settings.leases.renewalMilliseconds,
    )

/** The runner policy for [settings]; [incarnation] seeds the random choices of its requests. */
internal fun runnerPolicyFrom(
    settings: EntrySettings,
    incarnation: Long,
): RunnerPolicy =
    RunnerPolicy(
        sampleInFlightLimit = settings.rollouts.inFlightSamples,
        sampleFailureLimit = settings.rollouts.groupAttemptLimit,
        longestRequestMilliseconds = settings.requests.longestRequestMilliseconds,
        seed = incarnation,
    )
