/** Starts the parts of an entry instance in the order in which they need each other. */
package org.mulberrypin.service

import org.mulberrypin.runtime.Duty
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.service.configuration.ConfigurationPart
import org.mulberrypin.service.configuration.startConfigurationPart
import org.mulberrypin.service.membership.startMembershipPart
import org.mulberrypin.service.requests.RequestOutlets
import org.mulberrypin.service.requests.RequestPart
import org.mulberrypin.service.requests.startRequestPart
import org.mulberrypin.service.rollouts.RolloutPart
import org.mulberrypin.service.rollouts.startRolloutPart
import java.util.concurrent.atomic.AtomicReference

internal fun startParts(context: EntryContext): EntryParts {
    val outlets =
        RequestOutlets(
            recordUsage = { true },
            recordObjective = {},
            reportCrash = {},
            explain = context.explain,
        )
    val requests = startRequestPart(context, outlets)
    val rollouts = AtomicReference<RolloutPart>()
    val configuration =
        startConfigurationPart(context) { next: Configuration ->
            requests.configurationChanged(next)
            rollouts.get()?.configurationChanged?.invoke(next)
        }
    rollouts.set(startRolloutPart(context, requests, configuration.authenticate))
    rollouts.get().configurationChanged(configuration.current())
    val membership =
        startMembershipPart(context) { instances ->
            requests.instancesChanged(instances.size)
            configuration.peersChanged(instances)
            rollouts.get().peersChanged(instances)
        }
    return EntryParts(
        requests = requests,
        configuration = configuration,
        rollouts = rollouts.get(),
        membership = membership,
        certaintyWatch = startCertaintyWatch(context, configuration, requests),
    )
}

/** Tells the request duty whether the configuration is known to be in force, so that waiting requests end too. */
private fun startCertaintyWatch(
    context: EntryContext,
    configuration: ConfigurationPart,
    requests: RequestPart,
): Duty =
    startDuty<Unit>("certainty", boundedRing("certainty", 1), context.clock, CERTAINTY_MILLISECONDS, {}) {
        requests.certaintyChanged(configuration.certain())
    }

private const val CERTAINTY_MILLISECONDS = 250L
