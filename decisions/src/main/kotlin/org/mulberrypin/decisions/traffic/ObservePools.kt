/** Learns from the outcome of attempts how fast the pools serve and when they are short of room. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.requests.deposit
import org.mulberrypin.decisions.requests.tryWithdraw

internal fun TrafficState.pressureOf(pool: String): PoolPressure = queues.pools[pool] ?: PoolPressure()

internal fun TrafficState.withPressure(
    pool: String,
    change: (PoolPressure) -> PoolPressure,
): TrafficState = withQueues { it.copy(pools = it.pools.put(pool, change(pressureOf(pool)))) }

/** Observes a response before it is decided on. */
internal fun TrafficState.observeResponse(
    event: TrafficEvent.ResponseReceived,
    nowMilliseconds: Long,
): TrafficState {
    val request = requests[event.request]?.takeIf { it.attempt == event.attempt && it.server != null } ?: return this
    val isOtherServer = event.status == HttpStatusCode.MISDIRECTED
    return when {
        !event.notRun -> withPressure(request.pool) {
            val load = event.load?.let { report -> report.running + report.waiting } ?: 0
            it.withRun(runMilliseconds(request, load, nowMilliseconds), nowMilliseconds)
        }

        isOtherServer -> this

        else -> withShortage(request.pool, nowMilliseconds)
    }
}

/** Time that the server spent on [request]; the queue of a server that is full is left out in proportion. */
private fun TrafficState.runMilliseconds(
    request: ForwardedRequest,
    load: Int,
    nowMilliseconds: Long,
): Double {
    val slots = (backends[request.server]?.entry?.slots ?: 1).coerceAtLeast(1)
    return (nowMilliseconds - request.sentMilliseconds).toDouble() * slots / maxOf(slots, load)
}

/** Marks [pool] as short of room after a refusal or after an attempt that got no response in time. */
internal fun TrafficState.withShortage(
    pool: String,
    nowMilliseconds: Long,
): TrafficState = withPressure(pool) { it.copy(pressedMilliseconds = nowMilliseconds) }

/** Expected run time of a request: the measured mean of its pool, or the route's objective if too little is known. */
internal fun TrafficState.expectedRunMilliseconds(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Double {
    val pressure = pressureOf(request.pool)
    val known = pressure.meanRunMilliseconds.takeIf { pressure.knowsRunTimes(nowMilliseconds) }
    return (known ?: request.route.objectiveMilliseconds.toDouble()).coerceAtLeast(1.0)
}

/** Adds a first attempt's share of a retry to the budget of its pool. */
internal fun TrafficState.withFirstAttempt(
    pool: String,
    nowMilliseconds: Long,
): TrafficState =
    withPressure(pool) {
        it.copy(retries = it.retries.deposit(RETRIES_PER_FIRST_ATTEMPT), attemptedMilliseconds = nowMilliseconds)
    }

/**
 * Whether the budget of the pool allows another attempt of [request]. Only a pool that is short of room is spared, and
 * the first retry after an attempt that cannot have run is free, since another server may have room.
 */
internal fun TrafficState.isWithinRetryBudget(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Boolean = isFreeRetry(request, nowMilliseconds) || pressureOf(request.pool).retries.tryWithdraw() != null

/** Takes a retry that has been sent from the budget of its pool. */
internal fun TrafficState.withRetrySpent(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): TrafficState =
    if (isFreeRetry(request, nowMilliseconds)) {
        this
    } else {
        withPressure(request.pool) { it.copy(retries = it.retries.tryWithdraw() ?: it.retries) }
    }

private fun TrafficState.isFreeRetry(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Boolean = !pressureOf(request.pool).isPressed(nowMilliseconds) || (request.attempt <= 1 && !request.mayHaveRun)

/** Forgets pools and refused callers of which nothing has been heard for long. */
internal fun TrafficState.expireObservations(nowMilliseconds: Long): TrafficState {
    val stalePools = queues.pools.filterValues { it.isOutdated(nowMilliseconds) }.keys
    val staleCallers = queues.refusedCallers.filterValues { it.isOutdated(nowMilliseconds) }.keys
    if (stalePools.isEmpty() && staleCallers.isEmpty()) return this
    return withQueues {
        it.copy(
            pools = stalePools.fold(it.pools) { rest, pool -> rest.remove(pool) },
            refusedCallers = staleCallers.fold(it.refusedCallers) { rest, content -> rest.remove(content) },
        )
    }
}

/** Retries that a pool short of room is given for each first attempt. */
private const val RETRIES_PER_FIRST_ATTEMPT = 0.2
