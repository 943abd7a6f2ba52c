package org.mulberrypin.service.configuration

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.configuration.Certainty
import org.mulberrypin.decisions.configuration.ConfigurationBounds
import org.mulberrypin.decisions.configuration.ConfigurationEffect
import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.decisions.configuration.ConfigurationState
import org.mulberrypin.decisions.configuration.SubmissionResult
import org.mulberrypin.decisions.configuration.decideConfiguration
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation
import org.mulberrypin.service.EntryContext
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Carries out what the decision about configurations asks for.
 *
 * When the ring of events is full, the announcement of a peer and the patch of an operator are refused as not run; the
 * answer of a peer is dropped and its announcement ends with its deadline; a lost result of the table service is made
 * good by the next read, or by repeating the commit. When the ring of the store duty is full, a read counts as failed,
 * a commit as not run, and a snapshot is left out until the next one.
 */
internal class ConfigurationDuty(
    private val context: EntryContext,
    private val ring: BoundedRing<ConfigurationEvent>,
    private val storeRing: BoundedRing<StoreWork>,
    private val onConfiguration: (Configuration) -> Unit,
) {
    private val bounds = boundsOf(context)
    private var state = ConfigurationState(context.settings.instance.name, context.incarnation, bounds)
    private val events = ArrayDeque<ConfigurationEvent>()
    private val calls = ConcurrentHashMap<Long, (Outcome<VersionConfirmation>) -> Unit>()
    private val operators = ConcurrentHashMap<Long, (SubmissionResult) -> Unit>()
    private val numbers = AtomicLong()

    @Volatile
    private var certainty = Certainty()

    @Volatile
    var configuration: Configuration = Configuration()
        private set

    @Volatile
    var keys: KeyTable = KeyTable(emptyMap())
        private set

    fun isCertain(): Boolean = certainty.holds(bounds, context.clock.readMilliseconds())

    fun handle(event: ConfigurationEvent) {
        events.addLast(event)
        while (events.isNotEmpty()) {
            val transition = decideConfiguration(state, events.removeFirst(), context.clock.readMilliseconds())
            state = transition.state
            transition.effects.forEach(::carryOut)
            certainty = state.certainty
        }
    }

    fun announce(
        announcement: VersionAnnouncement,
        onOutcome: (Outcome<VersionConfirmation>) -> Unit,
    ) {
        val call = numbers.incrementAndGet()
        calls[call] = onOutcome
        if (!ring.offer(ConfigurationEvent.Announced(call, announcement))) {
            calls.remove(call)
            val fault = Fault("announcement", context.settings.instance.name, FaultKind.NOT_RUN, "The ring is full.")
            onOutcome(Outcome.Failure(fault))
        }
    }

    fun submit(
        patch: ConfigurationPatch,
        onResult: (SubmissionResult) -> Unit,
    ) {
        val operator = numbers.incrementAndGet()
        operators[operator] = onResult
        val wallMilliseconds = context.clock.readWallMilliseconds()
        if (!ring.offer(ConfigurationEvent.PatchSubmitted(operator, patch, wallMilliseconds))) {
            operators.remove(operator)
            onResult(SubmissionResult.NotRun("Too many events are waiting.", configuration.version))
        }
    }

    private fun carryOut(effect: ConfigurationEffect) {
        when (effect) {
            is ConfigurationEffect.Publish -> {
                publish(effect.configuration)
            }

            is ConfigurationEffect.ReadStore -> {
                orElse(StoreWork.Read(effect.version), ConfigurationEvent.StoreUnreachable)
            }

            is ConfigurationEffect.Commit -> {
                orElse(StoreWork.Commit(effect.operator, effect.accepted), notRun(effect.operator))
            }

            is ConfigurationEffect.WriteSnapshot -> {
                if (!storeRing.offer(StoreWork.Snapshot(effect.configuration))) {
                    logger.warn("Snapshot {} is left out.", effect.configuration.version)
                }
            }

            is ConfigurationEffect.Announce -> {
                send(effect)
            }

            is ConfigurationEffect.Confirm -> {
                calls.remove(effect.call)?.invoke(Outcome.Success(effect.confirmation))
            }

            is ConfigurationEffect.AnswerOperator -> {
                operators.remove(effect.operator)?.invoke(effect.result)
            }
        }
    }

    private fun orElse(
        work: StoreWork,
        failure: ConfigurationEvent,
    ) {
        if (!storeRing.offer(work)) events.addLast(failure)
    }

    private fun publish(next: Configuration) {
        keys = keyTableOf(next)
        configuration = next
        onConfiguration(next)
        logger.info("Version {} is in force.", next.version)
    }

    private fun send(effect: ConfigurationEffect.Announce) {
        context.peers.announce(effect.address, effect.timeoutMilliseconds, effect.announcement) { outcome ->
            val event = when (outcome) {
                is Outcome.Success -> {
                    ConfigurationEvent.PeerConfirmed(effect.fanout, effect.delegation, outcome.value)
                }

                is Outcome.Failure -> {
                    ConfigurationEvent.PeerFailed(effect.fanout, effect.delegation)
                }
            }
            if (!ring.offer(event)) logger.warn("The answer of {} is dropped.", effect.address)
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("configuration")
    }
}

private fun boundsOf(context: EntryContext): ConfigurationBounds {
    val settings = context.settings.configuration
    return ConfigurationBounds(
        pollMilliseconds = settings.pollMilliseconds,
        forceMilliseconds = settings.forceMilliseconds,
        graceMilliseconds = settings.isolationGraceMilliseconds,
        clockRateBound = context.settings.leases.clockRateBound,
    )
}
