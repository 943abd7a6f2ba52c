package org.mulberrypin.service.configuration

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.configuration.ConfigurationEffect
import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.decisions.configuration.ConfigurationState
import org.mulberrypin.decisions.configuration.ConfigurationTimeLimits
import org.mulberrypin.decisions.configuration.SubmissionResult
import org.mulberrypin.decisions.configuration.VersionEvidence
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
 * Executes the effects that [decideConfiguration] returns.
 *
 * Behaviour when the event ring is full: announcements from peers and patches from operators are refused as not run; a
 * peer's response is dropped and the announcement to it times out; a dropped result of the table service is recovered
 * by the next read or by a repeated commit. When the ring of the store duty is full, a read counts as failed and a
 * commit as not run; a snapshot is skipped, and the next one replaces it.
 */
internal class ConfigurationDuty(
    private val context: EntryContext,
    private val ring: BoundedRing<ConfigurationEvent>,
    private val storeRing: BoundedRing<StoreOperation>,
    private val onConfiguration: (Configuration) -> Unit,
) {
    private val timeLimits = timeLimitsFrom(context)
    private var state = ConfigurationState(context.settings.instance.name, context.incarnation, timeLimits)
    private val events = ArrayDeque<ConfigurationEvent>()
    private val pendingAnnouncements = ConcurrentHashMap<Long, (Outcome<VersionConfirmation>) -> Unit>()
    private val pendingSubmissions = ConcurrentHashMap<Long, (SubmissionResult) -> Unit>()
    private val lastNumber = AtomicLong()

    @Volatile
    private var evidence = VersionEvidence()

    @Volatile
    var configuration: Configuration = Configuration()
        private set

    @Volatile
    var keys: KeyTable = KeyTable(emptyMap())
        private set

    fun isConfigurationConfirmed(): Boolean = evidence.permitsServing(timeLimits, context.clock.readMilliseconds())

    fun handle(event: ConfigurationEvent) {
        events.addLast(event)
        while (events.isNotEmpty()) {
            val transition = decideConfiguration(state, events.removeFirst(), context.clock.readMilliseconds())
            state = transition.state
            transition.effects.forEach(::execute)
            evidence = state.evidence
        }
    }

    fun announce(
        announcement: VersionAnnouncement,
        onOutcome: (Outcome<VersionConfirmation>) -> Unit,
    ) {
        val callNumber = lastNumber.incrementAndGet()
        pendingAnnouncements[callNumber] = onOutcome
        if (!ring.offer(ConfigurationEvent.AnnouncementReceived(callNumber, announcement))) {
            pendingAnnouncements.remove(callNumber)
            val fault = Fault("announcement", context.settings.instance.name, FaultKind.NOT_RUN, "The ring is full.")
            onOutcome(Outcome.Failure(fault))
        }
    }

    fun submit(
        patch: ConfigurationPatch,
        onResult: (SubmissionResult) -> Unit,
    ) {
        val submission = lastNumber.incrementAndGet()
        pendingSubmissions[submission] = onResult
        val wallMilliseconds = context.clock.readWallMilliseconds()
        if (!ring.offer(ConfigurationEvent.PatchSubmitted(submission, patch, wallMilliseconds))) {
            pendingSubmissions.remove(submission)
            onResult(SubmissionResult.NotRun("The ring of configuration events is full.", configuration.version))
        }
    }

    private fun execute(effect: ConfigurationEffect) {
        when (effect) {
            is ConfigurationEffect.ApplyConfiguration -> {
                applyConfiguration(effect.configuration)
            }

            is ConfigurationEffect.ReadStore -> {
                offerOrFail(StoreOperation.Read(effect.version), ConfigurationEvent.StoreUnreachable)
            }

            is ConfigurationEffect.Commit -> {
                offerOrFail(
                    StoreOperation.Commit(effect.operatorRequest, effect.accepted),
                    commitNotRun(effect.operatorRequest),
                )
            }

            is ConfigurationEffect.WriteSnapshot -> {
                if (!storeRing.offer(StoreOperation.Snapshot(effect.configuration))) {
                    logger.warn("Skipped snapshot {}: the store ring is full.", effect.configuration.version)
                }
            }

            is ConfigurationEffect.Announce -> {
                announceToPeer(effect)
            }

            is ConfigurationEffect.AnswerAnnouncement -> {
                pendingAnnouncements.remove(effect.callNumber)?.invoke(Outcome.Success(effect.confirmation))
            }

            is ConfigurationEffect.AnswerOperator -> {
                pendingSubmissions.remove(effect.operatorRequest)?.invoke(effect.result)
            }
        }
    }

    private fun offerOrFail(
        operation: StoreOperation,
        failure: ConfigurationEvent,
    ) {
        if (!storeRing.offer(operation)) events.addLast(failure)
    }

    private fun applyConfiguration(next: Configuration) {
        keys = indexKeys(next)
        configuration = next
        onConfiguration(next)
        logger.info("Configuration version {} is in force.", next.version)
    }

    private fun announceToPeer(effect: ConfigurationEffect.Announce) {
        context.peers.announce(effect.address, effect.timeoutMilliseconds, effect.announcement) { outcome ->
            val event = when (outcome) {
                is Outcome.Success -> {
                    ConfigurationEvent.PeerConfirmed(effect.fanout, effect.delegation, outcome.value)
                }

                is Outcome.Failure -> {
                    ConfigurationEvent.PeerFailed(effect.fanout, effect.delegation)
                }
            }
            if (!ring.offer(event)) logger.warn("Ring full; dropped the response of {}.", effect.address)
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("configuration")
    }
}

private fun timeLimitsFrom(context: EntryContext): ConfigurationTimeLimits {
    val settings = context.settings.configuration
    return ConfigurationTimeLimits(
        pollMilliseconds = settings.pollMilliseconds,
        forceMilliseconds = settings.forceMilliseconds,
        graceMilliseconds = settings.isolationGraceMilliseconds,
        clockRateBound = context.settings.leases.clockRateBound,
    )
}
