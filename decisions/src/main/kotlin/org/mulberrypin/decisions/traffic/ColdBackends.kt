/** Joins the bound on requests to cold servers to the traffic decisions, and explains it in the decision log. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.cold.ColdClaimOutcome
import org.mulberrypin.decisions.cold.ColdServer
import org.mulberrypin.decisions.cold.budgetOf
import org.mulberrypin.decisions.cold.dueClaims
import org.mulberrypin.decisions.cold.isCold
import org.mulberrypin.decisions.cold.isSpent
import org.mulberrypin.decisions.cold.withClaim
import org.mulberrypin.decisions.cold.withClaimOutcome
import org.mulberrypin.decisions.cold.withEntries
import org.mulberrypin.decisions.cold.withPools
import org.mulberrypin.decisions.cold.withReport
import org.mulberrypin.decisions.cold.withSend
import org.mulberrypin.decisions.cold.withTick
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.ServingConfiguration

internal fun TrafficState.handleConfiguration(
    configuration: ServingConfiguration,
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): TrafficState {
    val entries = backends.values.map { it.entry }
    val cold = coldServers.withPools(configuration.pools)
    return copy(
        routing = routingTableOf(configuration),
        coldServers = cold.withEntries(entries, isFirst = true, nowMilliseconds, wallMilliseconds),
    )
}

/** Records a request, task or scoring call that goes to [server] now. */
internal fun TrafficState.withColdSend(
    server: String,
    nowMilliseconds: Long,
): TrafficState =
    if (server in coldServers.servers) copy(coldServers = coldServers.withSend(server, nowMilliseconds)) else this

internal fun TrafficState.handleServerCold(
    event: TrafficEvent.ServerCold,
    nowMilliseconds: Long,
): TrafficState {
    val (server, started, milliseconds) = event
    return copy(coldServers = coldServers.withReport(server, started, milliseconds, nowMilliseconds))
}

internal fun TrafficState.handleColdShare(
    event: TrafficEvent.ColdShareAnswered,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val (server, started, outcome) = event
    val inputs = when (outcome) {
        is ColdClaimOutcome.Held -> "held requests=${outcome.requests} isEarlier=${outcome.isEarlier}"
        ColdClaimOutcome.Denied -> "denied"
        is ColdClaimOutcome.Unknown -> "unknown: ${outcome.detail}"
    }
    val explanation = TrafficEffect.RecordDecision(server, "cold share", "store", "$inputs started=$started")
    val next = coldServers.withClaimOutcome(server, started, outcome, nowMilliseconds)
    return Transition(copy(coldServers = next), listOf(explanation))
}

/** Notes the tick, explains which servers turned cold or warm, and claims shares of cold servers that work needs. */
internal fun TrafficState.tickColdServers(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    if (coldServers.pools.isEmpty()) return Transition(this)
    val ticked = copy(coldServers = coldServers.withTick(nowMilliseconds))
    val claims = ticked.coldServers
        .dueClaims(ticked.poolsWithWork(), nowMilliseconds)
        .filter { claim -> backends[claim.entry.id]?.let(::isAdmitted) == true }
    val changed = ticked.coldServers.servers.values.filter {
        it.isCold(nowMilliseconds) != it.isReportedCold || it.isSpent(nowMilliseconds) != it.isReportedSpent
    }
    val explained = ticked.decideEach(changed) { state, server -> state.explainColdServer(server, nowMilliseconds) }
    return claims.fold(explained) { result, server ->
        val current = result.state.coldServers.servers
            .getValue(server.entry.id)
        val claiming = result.state.coldServers.withClaim(current, nowMilliseconds)
        Transition(result.state.copy(coldServers = claiming), result.effects + listOfNotNull(claimOf(server)))
    }
}

private fun TrafficState.claimOf(server: ColdServer): TrafficEffect? {
    val pool = coldServers.pools[server.entry.pool] ?: return null
    return TrafficEffect.ClaimColdShare(
        server.entry.id,
        server.entry.startedWallMilliseconds,
        coldServers.limits.budgetOf(pool),
    )
}

private fun TrafficState.explainColdServer(
    server: ColdServer,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val isCold = server.isCold(nowMilliseconds)
    val isSpent = server.isSpent(nowMilliseconds)
    val id = server.entry.id
    val inputs = "pool=${server.entry.pool} share=${server.share.phase} requests=${server.share.requests}"
    val left = (server.coldUntilMilliseconds - nowMilliseconds).coerceAtLeast(0)
    val explanations = listOfNotNull(
        "backend server cold".takeIf { isCold && !server.isReportedCold },
        "backend server warm".takeIf { !isCold && server.isReportedCold },
        "cold budget spent".takeIf { isCold && isSpent && !server.isReportedSpent },
    ).map { TrafficEffect.RecordDecision(id, it, id, "$inputs milliseconds=$left") }
    val reported = server.copy(isReportedCold = isCold, isReportedSpent = isSpent)
    val servers = coldServers.servers.put(id, reported)
    return Transition(copy(coldServers = coldServers.copy(servers = servers)), explanations)
}

/** Pools that unfinished jobs of this instance or requests without a server need. */
private fun TrafficState.poolsWithWork(): Set<String> {
    val jobPools = jobs.values.flatMap { job ->
        routing
            ?.findRoute(job.record.host, job.record.path)
            ?.pools
            .orEmpty()
            .map { it.pool }
    }
    return jobPools.toSet() + requests.values.filter { it.server == null }.map { it.pool }
}
