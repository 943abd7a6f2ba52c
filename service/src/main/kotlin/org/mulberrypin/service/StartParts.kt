/** Starts the parts of an entry instance in the order in which they need each other. */
package org.mulberrypin.service

import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.service.configuration.startConfigurationPart
import org.mulberrypin.service.requests.RequestOutlets
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
    return EntryParts(requests, configuration, rollouts.get())
}
