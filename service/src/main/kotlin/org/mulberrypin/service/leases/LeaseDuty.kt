package org.mulberrypin.service.leases

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.leases.LeaseEffect
import org.mulberrypin.decisions.leases.LeaseEvent
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

/** The lease duty: applies events to the state of each lease, queues store calls and publishes the held leases. */
internal class LeaseDuty(
    private val context: EntryContext,
    initialStates: List<LeaseState>,
    private val commands: BoundedRing<LeaseStoreCommand>,
) {
    private val states = initialStates.associateBy { it.parameters.name }.toMutableMap()
    private val currentHolds = ConcurrentHashMap<String, HeldLease>()
    private val releasing = AtomicBoolean(false)
    private val released = CountDownLatch(1)

    init {
        context.metrics.gauge("mulberrypin.leases.held", currentHolds) { it.size.toDouble() }
    }

    /** Returns the lease [name] if this instance holds it and it has not expired, else null; safe on any thread. */
    fun currentLease(name: String): HeldLease? =
        currentHolds[name]?.takeIf { !releasing.get() && context.clock.readMilliseconds() < it.deadlineMilliseconds }

    /** Stops reporting leases as held at once and calls [signalDuty] to start their release; safe on any thread. */
    fun release(signalDuty: () -> Unit) {
        releasing.set(true)
        signalDuty()
    }

    /** After a release, waits until every lease is released, at most [timeoutMilliseconds]. */
    fun awaitRelease(timeoutMilliseconds: Long) {
        if (releasing.get()) released.await(timeoutMilliseconds, TimeUnit.MILLISECONDS)
    }

    fun handle(event: LeaseDutyEvent) {
        when (event) {
            is LeaseDutyEvent.Answer -> execute(decide(event.name, event.event))
            LeaseDutyEvent.Release -> execute(states.keys.toList().flatMap { decide(it, LeaseEvent.Release) })
        }
        if (releasing.get()) tick()
    }

    fun tick() {
        execute(states.keys.toList().flatMap { decide(it, LeaseEvent.Tick) })
        if (releasing.get() && states.values.all(::isReleased)) released.countDown()
    }

    private fun isReleased(state: LeaseState): Boolean =
        state.releasing && state.pendingStep == null && !state.unresolved && !state.isHeld()

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
        hold: HeldLease?,
    ) {
        if (hold == null) currentHolds.remove(name) else currentHolds[name] = hold
    }

    private fun execute(effects: List<LeaseEffect>) {
        effects.forEach(::reportChange)
        val reads = effects.filterIsInstance<LeaseEffect.ReadRow>()
        val writes = effects.filterIsInstance<LeaseEffect.WriteRow>()
        val (renewals, acquisitions) = writes.partition { it.renewal }
        if (renewals.isNotEmpty()) enqueue(LeaseStoreCommand.Commit(renewals))
        acquisitions.forEach { enqueue(LeaseStoreCommand.Commit(listOf(it))) }
        if (reads.isNotEmpty()) enqueue(LeaseStoreCommand.Read(reads))
    }

    private fun enqueue(command: LeaseStoreCommand) {
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

    private fun reportChange(effect: LeaseEffect) {
        when (effect) {
            is LeaseEffect.Acquired -> explain(effect.hold, "Took the lease.")
            is LeaseEffect.Lost -> explain(effect.hold, "Holds the lease no more.")
            is LeaseEffect.ReadRow, is LeaseEffect.WriteRow -> Unit
        }
    }

    private fun explain(
        hold: HeldLease,
        change: String,
    ) {
        val reason = "$change Fencing number ${hold.fencingNumber}."
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
