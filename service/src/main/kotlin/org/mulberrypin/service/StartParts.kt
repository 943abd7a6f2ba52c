/** Starts the parts of an entry instance in the order of their dependencies. */
package org.mulberrypin.service

import org.mulberrypin.decisions.billing.UsageEvent
import org.mulberrypin.decisions.objectives.ObjectiveEvent
import org.mulberrypin.decisions.requests.RequestEffect
import org.mulberrypin.runtime.Duty
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.CrashReport
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.attempts.startAttemptPart
import org.mulberrypin.service.billing.BillingPart
import org.mulberrypin.service.billing.USAGE_LEASE
import org.mulberrypin.service.billing.startBillingPart
import org.mulberrypin.service.configuration.ConfigurationPart
import org.mulberrypin.service.configuration.startConfigurationPart
import org.mulberrypin.service.explanations.ExplanationPart
import org.mulberrypin.service.leases.startLeasePart
import org.mulberrypin.service.membership.startMembershipPart
import org.mulberrypin.service.objectives.ObjectivePart
import org.mulberrypin.service.objectives.startObjectivePart
import org.mulberrypin.service.requests.RequestOutputs
import org.mulberrypin.service.requests.RequestPart
import org.mulberrypin.service.requests.startRequestPart
import org.mulberrypin.service.rollouts.RolloutPart
import org.mulberrypin.service.rollouts.startRolloutPart
import org.mulberrypin.service.supply.orderLease
import org.mulberrypin.service.supply.startSupplyPart
import java.util.concurrent.atomic.AtomicReference

internal fun startParts(
    context: EntryContext,
    explanations: ExplanationPart,
): EntryParts {
    val peers = AtomicReference(emptyList<InstanceEntry>())
    val objectives = startObjectivePart(context.settings.instance.name, context.clock, context.peers.countEvents)
    val leases = startLeasePart(context, contendedLeases)
    val billing = startBillingPart(context, leases, context.peers.copyUsage)
    val supply = startSupplyPart(context, leases, ORDER_SHARD)
    val requests = startRequestPart(context, requestOutputs(context, objectives, billing, peers::get))
    val rollouts = AtomicReference<RolloutPart>()
    val configuration =
        startConfigurationPart(context) { next: Configuration ->
            requests.configurationChanged(next)
            objectives.configurationChanged(next)
            supply.configurationChanged(next)
            rollouts.get()?.configurationChanged?.invoke(next)
        }
    rollouts.set(startRolloutPart(context, requests, configuration.authenticate))
    rollouts.get().configurationChanged(configuration.current())
    val listeners =
        listOf(
            peers::set,
            { requests.instancesChanged(it.size) },
            configuration.peersChanged,
            rollouts.get().peersChanged,
            explanations.peersChanged,
            objectives.peersChanged,
            billing.peersChanged,
        )
    return EntryParts(
        requests = requests,
        configuration = configuration,
        rollouts = rollouts.get(),
        membership = startMembershipPart(context) { instances -> listeners.forEach { it(instances) } },
        attempts = startAttemptPart(context),
        explanations = explanations,
        objectives = objectives,
        leases = leases,
        billing = billing,
        supply = supply,
        configurationMonitor = startConfigurationMonitor(context, configuration, requests),
    )
}

private fun requestOutputs(
    context: EntryContext,
    objectives: ObjectivePart,
    billing: BillingPart,
    peers: () -> List<InstanceEntry>,
): RequestOutputs =
    RequestOutputs(
        recordUsage = { billing.record(usageEvent(context, it)) },
        recordObjective = { objectives.record(ObjectiveEvent(it.team, it.route, it.good)) },
        reportCrash = { reportCrash(context, it, peers()) },
        explain = context.explain,
    )

private fun usageEvent(
    context: EntryContext,
    usage: RequestEffect.RecordUsage,
): UsageEvent =
    UsageEvent(
        requestName = "${context.incarnation}-${usage.request}",
        team = usage.team,
        route = usage.route,
        requests = 1,
        promptTokens = usage.promptTokens,
        generatedTokens = usage.generatedTokens,
    )

/** Reports a crash to each peer directly; crashes are rare, so the number of messages stays small. */
private fun reportCrash(
    context: EntryContext,
    crash: RequestEffect.ReportCrash,
    peers: List<InstanceEntry>,
) {
    val report =
        CrashReport(
            contentSha256 = crash.contentDigest,
            team = crash.team,
            backendServer = crash.server,
            failureDomain = crash.failureDomain,
            instance = context.settings.instance.name,
            running = crash.running,
        )
    val others = peers.filter { it.name != context.settings.instance.name }
    others.forEach { context.peers.reportCrash(it.peerAddress, CRASH_REPORT_TIMEOUT_MILLISECONDS, report) {} }
}

/**
 * Periodically notifies the request duty whether the configuration is known to be in force, so that queued requests are
 * refused too if it is not.
 */
private fun startConfigurationMonitor(
    context: EntryContext,
    configuration: ConfigurationPart,
    requests: RequestPart,
): Duty =
    startDuty<Unit>("certainty", boundedRing("certainty", 1), context.clock, CERTAINTY_CHECK_MILLISECONDS, {}) {
        requests.configurationConfirmedChanged(configuration.isConfigurationConfirmed())
    }

/** The only shard for orders of backend servers, so that the budget is accounted for in one place. */
private const val ORDER_SHARD = "all"

/** Names of the leases that every instance tries to acquire. */
internal val contendedLeases = listOf(USAGE_LEASE, orderLease(ORDER_SHARD))

private const val CERTAINTY_CHECK_MILLISECONDS = 250L
private const val CRASH_REPORT_TIMEOUT_MILLISECONDS = 2_000L
