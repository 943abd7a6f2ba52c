/**
 * Applies the operator's evacuations of failure domains. What runs in an evacuated domain goes on to its end; nothing
 * is sent there until the operator takes the evacuation back.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.andThen
import org.mulberrypin.decisions.cold.SLOW_START_MILLISECONDS

/** Replaces the evacuated failure domains and explains each change. */
internal fun TrafficState.handleDomainsEvacuated(
    domains: Set<String>,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    if (domains == evacuatedDomains) return Transition(this)
    val added = (domains - evacuatedDomains).map { explainEvacuation(it, "evacuation in force") }
    val removed = (evacuatedDomains - domains).map { explainEvacuation(it, "evacuation taken back") }
    val returned = returnedDomains.filter { (domain, time) ->
        domain !in domains && nowMilliseconds - time < SLOW_START_MILLISECONDS
    } + (evacuatedDomains - domains).associateWith { nowMilliseconds }
    val changed = copy(evacuatedDomains = domains, returnedDomains = returned).withExpectedLoads()
    return Transition(changed, added + removed).andThen { it.dispatchTasks(nowMilliseconds) }
}

private fun TrafficState.explainEvacuation(
    domain: String,
    decision: String,
): TrafficEffect {
    val servers = backends.values.filter { it.entry.failureDomain == domain }
    val inputs = "servers=${servers.size} inFlight=${servers.sumOf { it.inFlight }}"
    return TrafficEffect.RecordDecision(domain, decision, "store", inputs)
}

/** Whether [pool] has servers and all of them are in evacuated failure domains. */
internal fun TrafficState.isWhollyEvacuated(pool: String): Boolean {
    if (evacuatedDomains.isEmpty()) return false
    val servers = backends.values.filter { it.entry.pool == pool }
    return servers.isNotEmpty() && servers.all { it.entry.failureDomain in evacuatedDomains }
}

/** Refuses a request that has not been sent: no server of its pool may be used before the operator's next word. */
internal fun TrafficState.refuseEvacuated(request: ForwardedRequest): Transition<TrafficState, TrafficEffect> {
    val reason = "all failure domains of the pool are evacuated"
    val inputs = "$reason; pool=${request.pool} evacuated=${evacuatedDomains.size}"
    val refusal = TrafficEffect.Reject(
        request.request,
        HttpStatusCode.UNAVAILABLE,
        reason,
        EVACUATED_RETRY_MILLISECONDS,
    )
    val explanation = TrafficEffect.RecordDecision(request.id, "refused ${refusal.status}", identity.name, inputs)
    return Transition(this, listOf(explanation, refusal))
}

/** Time after which a caller may come back, in milliseconds; a take-back is in force within that time. */
private const val EVACUATED_RETRY_MILLISECONDS = 1_000L
