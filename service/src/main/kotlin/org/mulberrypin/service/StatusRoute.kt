/** The operator endpoint for the status of an instance. */
package org.mulberrypin.service

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.InstanceStatus
import org.mulberrypin.service.operators.outcomeResponse
import org.mulberrypin.service.operators.unauthorizedResponse

/** Registers the endpoint that returns the status of this instance. */
internal fun statusRoute(
    context: EntryContext,
    parts: EntryParts,
    readiness: Readiness,
): (ServerBuilder) -> Unit =
    { builder ->
        builder.service("/operator/status") { _, call ->
            if (parts.configuration.authenticateOperator(call.headers().get(HttpHeaderNames.AUTHORIZATION))) {
                val status = instanceStatus(context, parts, readiness)
                outcomeResponse(Outcome.Success(status), InstanceStatus.serializer())
            } else {
                unauthorizedResponse("status")
            }
        }
    }

private fun instanceStatus(
    context: EntryContext,
    parts: EntryParts,
    readiness: Readiness,
): InstanceStatus =
    InstanceStatus(
        instance = context.settings.instance.name,
        region = context.settings.instance.region,
        failureDomain = context.settings.instance.failureDomain,
        configurationVersion = parts.configuration.current().version,
        certain = parts.configuration.isConfigurationConfirmed(),
        ready = readiness.get(),
        requests = parts.requests.inFlight(),
        groups = parts.rollouts.inFlight(),
        attemptsWaiting = parts.attempts.unwrittenRecords(),
        instances = parts.membership.live().map { it.name },
        leases = contendedLeases.filter { parts.leases.currentLease(it) != null },
    )
