/**
 * Divides slots between flows of work by start-time fair queueing: the work of a flow is counted in expected events,
 * and the flow that has got the least goes first among those of the best rank and standing. Flows of another rank or
 * standing that have had no slot for a while share every fourth slot, so that none starves.
 */
package org.mulberrypin.decisions.ordering

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.decisions.requests.TeamShares
import org.mulberrypin.decisions.requests.charged
import org.mulberrypin.decisions.requests.lowestVirtualTimeTeam
import org.mulberrypin.decisions.requests.retainingTeams

/**
 * Work done by flow.
 *
 * @property shares virtual time by flow
 * @property unservedSince time since which a waiting flow has got no slot, in milliseconds, by flow
 * @property servedInTurn slots given in turn since the last one that went to an overdue flow
 */
public data class WorkShares(
    val shares: TeamShares = TeamShares(),
    val unservedSince: PersistentMap<String, Long> = persistentMapOf(),
    val servedInTurn: Int = 0,
)

/** The flow that gets the next slot; [isOverdue] is true if it goes before flows of a better rank or standing. */
public data class FlowTurn(
    val flow: String,
    val isOverdue: Boolean,
)

/** Returns the flow that gets the next slot; null if [waiting] is empty. */
public fun WorkShares.nextFlow(
    waiting: Collection<WaitingFlow>,
    nowMilliseconds: Long,
): FlowTurn? {
    val best = waiting.minWithOrNull(compareBy({ it.rank }, { it.standing })) ?: return null
    val (inTurn, others) = waiting.partition { it.rank == best.rank && it.standing == best.standing }
    val overdue = others
        .filter { nowMilliseconds - (unservedSince[it.flow] ?: nowMilliseconds) >= MAX_UNSERVED_MILLISECONDS }
        .minWithOrNull(compareBy({ unservedSince[it.flow] }, { it.rank }, { it.flow }))
    return if (overdue != null && servedInTurn >= SLOTS_IN_TURN) {
        FlowTurn(overdue.flow, isOverdue = true)
    } else {
        lowestVirtualTimeTeam(inTurn.mapTo(HashSet()) { it.flow }, shares)?.let { FlowTurn(it, isOverdue = false) }
    }
}

/** Charges [events] to the flow that has got a slot. */
public fun WorkShares.withServed(
    turn: FlowTurn,
    events: Long,
    nowMilliseconds: Long,
): WorkShares =
    WorkShares(
        shares = shares.charged(turn.flow, events, weight = 1.0),
        unservedSince = unservedSince.put(turn.flow, nowMilliseconds),
        servedInTurn = if (turn.isOverdue) 0 else minOf(servedInTurn + 1, SLOTS_IN_TURN),
    )

/** Keeps the flows of [open] work, and since when each of the [waiting] ones has got no slot. */
public fun WorkShares.withWaiting(
    waiting: Set<String>,
    open: Set<String>,
    nowMilliseconds: Long,
): WorkShares =
    WorkShares(
        shares = shares.retainingTeams(open),
        unservedSince = waiting.associateWith { unservedSince[it] ?: nowMilliseconds }.toPersistentMap(),
        servedInTurn = servedInTurn,
    )

/** Slots that are given in turn before one goes to an overdue flow. */
private const val SLOTS_IN_TURN = 3

/** Time without a slot after which a waiting flow is overdue, in milliseconds: about the run time of a short text. */
private const val MAX_UNSERVED_MILLISECONDS = 1_000L
