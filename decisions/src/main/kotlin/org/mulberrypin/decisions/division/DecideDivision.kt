/**
 * Divides the engines of each pool among its models by demand. Every instance adds up the demand, so that a new holder
 * of the control lease knows it; the holder alone writes divisions. A division in the store stays in force until
 * another one differs from it by a good part of an engine for some time, also while the store or the holder is away.
 */
package org.mulberrypin.decisions.division

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.ModelShare
import org.mulberrypin.schema.generated.PoolDivision
import kotlin.math.abs

/** Applies an event at [nowMilliseconds] by the clock of this process. */
public fun decideDivision(
    state: DivisionState,
    event: DivisionEvent,
    nowMilliseconds: Long,
): Transition<DivisionState, DivisionEffect> =
    when (event) {
        is DivisionEvent.PoolsChanged -> Transition(state.copy(pools = event.pools))
        is DivisionEvent.DemandRead -> state.readDemand(event, nowMilliseconds)
        is DivisionEvent.RowsRead -> state.readRows(event.rows)
        is DivisionEvent.WriteFailed -> state.handleWriteFailure(event)
        is DivisionEvent.Tick -> state.tick(event.fencingNumber, nowMilliseconds)
    }

/** The shares of the models in thousandths, by pool. */
public fun DivisionState.sharesByPool(): Map<String, Map<String, Int>> =
    inForce.mapValues { (_, row) -> row.division.shares.associate { it.model to it.thousandths } }

private fun DivisionState.readDemand(
    event: DivisionEvent.DemandRead,
    nowMilliseconds: Long,
): Transition<DivisionState, DivisionEffect> {
    val ignored = event.demands.flatMap { (instance, demands) ->
        demands.filterNot(::isPlausible).map { instance to it }
    }
    val explanations = ignored
        .filter { (instance, demand) -> instance to demand.model !in implausible }
        .map { (instance, demand) -> DivisionEffect.Explain(instance, "demand ignored", "$demand") }
    val last = demandReadMilliseconds?.takeIf { nowMilliseconds - it <= MAX_DEMAND_AGE_MILLISECONDS }
    val plausible = event.demands.values
        .flatten()
        .filter(::isPlausible)
    val since = if (last == null) nowMilliseconds else demandSinceMilliseconds
    val next = copy(
        demand = smoothDemand(
            smoothed = demand.takeIf { last != null }.orEmpty(),
            demands = plausible,
            elapsedMilliseconds = nowMilliseconds - (last ?: nowMilliseconds),
            watchedMilliseconds = nowMilliseconds - since,
        ),
        demandSinceMilliseconds = since,
        demandReadMilliseconds = nowMilliseconds,
        implausible = ignored.mapTo(HashSet()) { (instance, demand) -> instance to demand.model },
    )
    return Transition(next, explanations)
}

/** Takes over rows that are newer than the known ones. */
private fun DivisionState.readRows(rows: List<DivisionRow>): Transition<DivisionState, DivisionEffect> {
    val newer = rows.filter { it.version > (inForce[it.division.pool]?.version ?: 0) }
    if (newer.isEmpty()) return Transition(this)
    val pools = newer.mapTo(HashSet()) { it.division.pool }
    val next = copy(inForce = inForce + newer.associateBy { it.division.pool }, writes = writes - pools)
    val explanations = newer.map { row ->
        DivisionEffect.Explain(row.division.pool, "division in force", "${describe(row.division)} row=${row.version}")
    }
    return Transition(next, explanations + DivisionEffect.Announce(next.sharesByPool()))
}

private fun DivisionState.handleWriteFailure(
    event: DivisionEvent.WriteFailed,
): Transition<DivisionState, DivisionEffect> =
    Transition(this, listOf(DivisionEffect.Explain(event.pool, "division not written", event.detail)))

private fun DivisionState.tick(
    fencingNumber: Long?,
    nowMilliseconds: Long,
): Transition<DivisionState, DivisionEffect> {
    val lastRead = demandReadMilliseconds
    val isDemandKnown = lastRead != null &&
        nowMilliseconds - lastRead <= MAX_DEMAND_AGE_MILLISECONDS &&
        nowMilliseconds - demandSinceMilliseconds >= WATCH_MILLISECONDS
    if (fencingNumber == null || !isDemandKnown) {
        return Transition(copy(wantedSinceMilliseconds = emptyMap(), writes = emptyMap()))
    }
    return decideEach(pools.filter { it.models.size > 1 }) { state, pool ->
        state.reviewPool(pool, fencingNumber, nowMilliseconds)
    }
}

private fun DivisionState.reviewPool(
    pool: DividedPool,
    fencingNumber: Long,
    nowMilliseconds: Long,
): Transition<DivisionState, DivisionEffect> {
    val row = inForce[pool.name]
    val writing = writes[pool.name]
    val isWriting = writing != null && nowMilliseconds - writing < WRITE_TIMEOUT_MILLISECONDS
    // A newer holder has written the row.
    val isSuperseded = row != null && row.division.fencingNumber > fencingNumber
    val shares = modelShares(pool.models, demand)
    if (isWriting || isSuperseded || shares == null) return Transition(this)
    val current = row
        ?.division
        ?.shares
        .orEmpty()
        .associate { it.model to it.thousandths }
    val due = engineQuotas(pool.engines, pool.models, shares)
    val held = engineQuotas(pool.engines, pool.models, current)
    val deviation = pool.models.maxOf { abs(due.getValue(it) - held.getValue(it)) }
    val since = wantedSinceMilliseconds[pool.name]
    return when {
        deviation < KEPT_DEVIATION -> Transition(
            copy(wantedSinceMilliseconds = wantedSinceMilliseconds - pool.name),
        )

        since == null -> Transition(
            copy(wantedSinceMilliseconds = wantedSinceMilliseconds + (pool.name to nowMilliseconds)),
        )

        nowMilliseconds - since < SETTLE_MILLISECONDS -> Transition(this)

        else -> write(pool, shares, fencingNumber, nowMilliseconds)
    }
}

private fun DivisionState.write(
    pool: DividedPool,
    shares: Map<String, Int>,
    fencingNumber: Long,
    nowMilliseconds: Long,
): Transition<DivisionState, DivisionEffect> {
    val division = PoolDivision(pool.name, shares.map { (model, share) -> ModelShare(model, share) }, fencingNumber)
    val inputs = pool.models.joinToString(" ") { model ->
        val known = demand[model] ?: SmoothedDemand()
        "$model: asked=${known.tokensPerSecond.toLong()}/s remaining=${known.remainingTokens.toLong()} " +
            "pace=${known.taskTokensPerSecond.toLong()}/s"
    }
    val row = inForce[pool.name]
    val before = row?.let { describe(it.division) } ?: "even"
    return Transition(
        copy(
            writes = writes + (pool.name to nowMilliseconds),
            wantedSinceMilliseconds = wantedSinceMilliseconds - pool.name,
        ),
        listOf(
            DivisionEffect.Explain(
                pool.name,
                "division decided",
                "engines=${pool.engines} before=$before after=${describe(division)} $inputs",
            ),
            DivisionEffect.Write(division, row?.version ?: 0),
        ),
    )
}

private fun describe(division: PoolDivision): String =
    division.shares.joinToString(",", "[", "]") { "${it.model}=${it.thousandths}" } + " token=${division.fencingNumber}"

/** Age from which demand counts as unknown, in milliseconds: some heartbeat intervals. */
private const val MAX_DEMAND_AGE_MILLISECONDS = 4_000L

/** Time for which demand is read before it decides, in milliseconds: the usual interval between steps. */
private const val WATCH_MILLISECONDS = 4_000L

/** Time for which a change must have been worth it, in milliseconds. */
private const val SETTLE_MILLISECONDS = 2_000L

/** Time after which a write without an outcome is repeated, in milliseconds; it is conditional on the row's version. */
private const val WRITE_TIMEOUT_MILLISECONDS = 1_500L
