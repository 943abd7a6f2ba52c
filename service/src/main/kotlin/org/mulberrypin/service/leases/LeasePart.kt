/**
 * The part of an entry instance that contends for leases. One duty decides; a second one carries out the blocking calls
 * of the table service. All leases of the instance are renewed by one commit and read by one call.
 *
 * Rings: the duty's ring holds the answers of the table service and the wish to release. When it is full an answer is
 * dropped; the decision then treats the step as lost and reads the row. The ring to the table service never holds more
 * than one step for each lease; when it is full the step counts as not run.
 */
package org.mulberrypin.service.leases

import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.decisions.leases.LeaseState
import org.mulberrypin.decisions.leases.LeaseTerms
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.service.EntryContext

/**
 * @property holding what this instance knows about a lease that it may rely on at this moment, or null; callers ask
 * again immediately before each step that needs the lease
 * @property release gives all leases up, without blocking
 * @property stop ends the duties; after a release it waits until the table service shows it, but not longer than the
 * platform's timeout
 */
public data class LeasePart(
    val holding: (name: String) -> LeaseHold?,
    val release: () -> Unit,
    val stop: () -> Unit,
)

/** Starts to contend for the leases with [names]; each name is also the key of the lease's row. */
public fun startLeasePart(
    context: EntryContext,
    names: List<String>,
): LeasePart {
    val answers = boundedRing<LeaseDutyEvent>("leases", names.size * RING_ROOM_FOR_EACH_LEASE + RING_ROOM)
    val commands = boundedRing<LeaseStoreCommand>("lease store", names.size * RING_ROOM_FOR_EACH_LEASE + RING_ROOM)
    val terms = names.map { leaseTerms(context, it) }
    val shell = LeaseShell(context, terms.map { LeaseState(it) }, commands)
    val store = LeaseStore(context.platform.tables) { answers.offer(it) }
    val tickMilliseconds = (context.settings.leases.renewalMilliseconds / TICKS_IN_RENEWAL).coerceAtLeast(1)
    val storeDuty = startDuty("lease-store", commands, context.clock, tickMilliseconds, store::carryOut) {}
    val duty = startDuty("leases", answers, context.clock, tickMilliseconds, shell::handle, shell::tick)
    val stop = {
        shell.awaitRelease(context.settings.platform.timeoutMilliseconds)
        duty.stop(STOP_WAIT_MILLISECONDS)
        storeDuty.stop(STOP_WAIT_MILLISECONDS)
    }
    return LeasePart(
        holding = shell::holding,
        release = { shell.release { answers.offer(LeaseDutyEvent.Release) } },
        stop = stop,
    )
}

private fun leaseTerms(
    context: EntryContext,
    name: String,
): LeaseTerms {
    val settings = context.settings.leases
    val instance = context.settings.instance.name
    val place = "$name $instance ${context.incarnation}".hashCode()
    return LeaseTerms(
        name = name,
        candidate = instance,
        incarnation = context.incarnation,
        durationMilliseconds = settings.durationMilliseconds,
        renewalMilliseconds = settings.renewalMilliseconds,
        clockRateBound = settings.clockRateBound,
        answerMilliseconds = context.settings.platform.timeoutMilliseconds * ANSWER_TIMEOUTS,
        contentionMilliseconds = place.mod(settings.renewalMilliseconds / CONTENTION_PARTS + 1),
    )
}

private const val RING_ROOM_FOR_EACH_LEASE = 4
private const val RING_ROOM = 16
private const val TICKS_IN_RENEWAL = 4L
private const val ANSWER_TIMEOUTS = 3L
private const val CONTENTION_PARTS = 2L
private const val STOP_WAIT_MILLISECONDS = 5_000L
