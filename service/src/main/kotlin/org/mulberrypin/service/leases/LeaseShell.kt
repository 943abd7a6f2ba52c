package org.mulberrypin.service.leases

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.leases.LeaseEffect
import org.mulberrypin.decisions.leases.LeaseEvent
import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.decisions.leases.LeaseState
import org.mulberrypin.decisions.leases.decideLease
import org.mulberrypin.decisions.leases.isHeld
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.service.EntryContext
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Keeps the states of all leases of the instance, feeds the decision and publishes what is held. */
internal class LeaseShell(
    private val context: EntryContext,
    initial: List<LeaseState>,
    private val commands: BoundedRing<LeaseStoreCommand>,
) {
    private val states = initial.associateBy { it.terms.name }.toMutableMap()
    private val holds = ConcurrentHashMap<String, LeaseHold>()
    private val releasing = AtomicBoolean(false)
    private val released = CountDownLatch(1)

    init {
        context.metrics.gauge("mulberrypin.leases.held", holds) { it.size.toDouble() }
    }

    /** Answers what is known about a lease that can be relied on now; safe on any thread. */
    fun holding(name: String): LeaseHold? =
        holds[name]?.takeIf { !releasing.get() && context.clock.readMilliseconds() < it.deadlineMilliseconds }

    fun release(ask: () -> Unit) {
        releasing.set(true)
        ask()
    }

    fun awaitRelease(waitMilliseconds: Long) {
        if (releasing.get()) released.await(waitMilliseconds, TimeUnit.MILLISECONDS)
    }

    fun handle(event: LeaseDutyEvent) {
        when (event) {
            is LeaseDutyEvent.Answer -> carryOut(decide(event.name, event.event))
            LeaseDutyEvent.Release -> carryOut(states.keys.toList().flatMap { decide(it, LeaseEvent.Release) })
        }
        if (releasing.get()) tick()
    }

    fun tick() {
        carryOut(states.keys.toList().flatMap { decide(it, LeaseEvent.Tick) })
        if (releasing.get() && states.values.all(::isGivenUp)) released.countDown()
    }

    private fun isGivenUp(state: LeaseState): Boolean =
        state.releasing && state.outstanding == null && !state.unresolved && !state.isHeld()

    private fun decide(
        name: String,
        event: LeaseEvent,
    ): List<LeaseEffect> {
        val state = states[name] ?: return emptyList()
        val transition = decideLease(state, event, context.clock.readMilliseconds())
        states[name] = transition.state
        publish(name, transition.state.hold)
        return transition.effects
    }

    private fun publish(
        name: String,
        hold: LeaseHold?,
    ) {
        if (hold == null) holds.remove(name) else holds[name] = hold
    }

    private fun carryOut(effects: List<LeaseEffect>) {
        effects.forEach(::report)
        val reads = effects.filterIsInstance<LeaseEffect.ReadRow>()
        val writes = effects.filterIsInstance<LeaseEffect.WriteRow>()
        val (renewals, acquisitions) = writes.partition { it.renewal }
        if (renewals.isNotEmpty()) hand(LeaseStoreCommand.Commit(renewals))
        acquisitions.forEach { hand(LeaseStoreCommand.Commit(listOf(it))) }
        if (reads.isNotEmpty()) hand(LeaseStoreCommand.Read(reads))
    }

    private fun hand(command: LeaseStoreCommand) {
        if (commands.offer(command)) return
        when (command) {
            is LeaseStoreCommand.Read -> {
                command.steps.forEach { decide(it.name, LeaseEvent.ReadFailed(it.attempt)) }
            }

            is LeaseStoreCommand.Commit -> {
                command.steps.forEach { decide(it.record.name, LeaseEvent.WriteNotRun(it.attempt)) }
            }
        }
    }

    private fun report(effect: LeaseEffect) {
        when (effect) {
            is LeaseEffect.Taken -> explain(effect.hold, "Took the lease.")
            is LeaseEffect.Lost -> explain(effect.hold, "Holds the lease no more.")
            is LeaseEffect.ReadRow, is LeaseEffect.WriteRow -> Unit
        }
    }

    private fun explain(
        hold: LeaseHold,
        what: String,
    ) {
        val reason = "$what Fencing number ${hold.fencingNumber}."
        logger.info("{}: {}", hold.name, reason)
        context.explain(
            Explanation(
                wallMilliseconds = context.clock.readWallMilliseconds(),
                instance = context.settings.instance.name,
                subject = "lease",
                name = hold.name,
                step = "lease",
                reason = reason,
            ),
        )
    }

    private companion object {
        private val logger = LogManager.getLogger("leases")
    }
}
