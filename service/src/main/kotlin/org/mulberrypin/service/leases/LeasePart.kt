/**
 * The part of an entry instance that acquires and renews leases. The lease duty makes the decisions; the store duty
 * makes the blocking calls to the table service. All leases of the instance are renewed in one commit and read in one
 * call.
 *
 * Rings: the lease duty's ring contains results of the table service and the request to release. If it is full, a
 * result is dropped; the decision then treats the operation as lost and reads the row. The store ring never contains
 * more than one operation for each lease; if it is full, the operation counts as not run.
 */
package org.mulberrypin.service.leases

import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.leases.LeaseParameters
import org.mulberrypin.decisions.leases.LeaseState
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.service.EntryContext

/**
 * Operations on the leases of one instance.
 *
 * @property currentLease returns a lease that this instance holds now, or null; callers must check again immediately
 * before each operation that needs the lease
 * @property release releases all leases, without blocking
 * @property stop stops the duties; after a release, first waits until the table service has recorded it, at most for
 * the platform's timeout
 */
public data class LeasePart(
    val currentLease: (name: String) -> HeldLease?,
    val release: () -> Unit,
    val stop: () -> Unit,
)

/** Starts acquiring the leases with [names]; each name is also the key of the lease's row. */
public fun startLeasePart(
    context: EntryContext,
    names: List<String>,
): LeasePart {
    val answers = boundedRing<LeaseDutyEvent>("leases", names.size * RING_CAPACITY_PER_LEASE + RING_BASE_CAPACITY)
    val commands =
        boundedRing<LeaseStoreCommand>("lease store", names.size * RING_CAPACITY_PER_LEASE + RING_BASE_CAPACITY)
    val leaseParameters = names.map { leaseParametersOf(context, it) }
    val leaseDuty = LeaseDuty(context, leaseParameters.map { LeaseState(it) }, commands)
    val store = LeaseStore(context.platform.tables) { answers.offer(it) }
    val tickMilliseconds = (context.settings.leases.renewalMilliseconds / TICKS_PER_RENEWAL).coerceAtLeast(1)
    val storeDuty = startDuty("lease-store", commands, context.clock, tickMilliseconds, store::execute) {}
    val decisionDuty = startDuty("leases", answers, context.clock, tickMilliseconds, leaseDuty::handle, leaseDuty::tick)
    val stop = {
        leaseDuty.awaitRelease(context.settings.platform.timeoutMilliseconds)
        decisionDuty.stop(STOP_TIMEOUT_MILLISECONDS)
        storeDuty.stop(STOP_TIMEOUT_MILLISECONDS)
    }
    return LeasePart(
        currentLease = leaseDuty::currentLease,
        release = { leaseDuty.release { answers.offer(LeaseDutyEvent.Release) } },
        stop = stop,
    )
}

private fun leaseParametersOf(
    context: EntryContext,
    name: String,
): LeaseParameters {
    val settings = context.settings.leases
    val instance = context.settings.instance.name
    val contentionHash = "$name $instance ${context.incarnation}".hashCode()
    return LeaseParameters(
        name = name,
        candidate = instance,
        incarnation = context.incarnation,
        durationMilliseconds = settings.durationMilliseconds,
        renewalMilliseconds = settings.renewalMilliseconds,
        clockRateBound = settings.clockRateBound,
        responseTimeoutMilliseconds = context.settings.platform.timeoutMilliseconds * RESPONSE_TIMEOUT_FACTOR,
        acquisitionDelayMilliseconds = contentionHash.mod(settings.renewalMilliseconds / CONTENTION_DIVISOR + 1),
    )
}

private const val RING_CAPACITY_PER_LEASE = 4
private const val RING_BASE_CAPACITY = 16
private const val TICKS_PER_RENEWAL = 4L

/** Platform timeouts after which the response to a read or write counts as lost. */
private const val RESPONSE_TIMEOUT_FACTOR = 3L

/**
 * A free lease is taken after a delay of at most the renewal interval divided by this number; the delay differs between
 * instances, so that not all of them try at once.
 */
private const val CONTENTION_DIVISOR = 2L
private const val STOP_TIMEOUT_MILLISECONDS = 5_000L
