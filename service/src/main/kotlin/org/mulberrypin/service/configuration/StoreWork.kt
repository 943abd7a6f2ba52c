package org.mulberrypin.service.configuration

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.configuration.CommitResult
import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.platform.Platform
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration

/** What the store duty does for the configuration duty and for operators. */
internal sealed interface StoreWork {
    data class Read(
        val version: Long,
    ) : StoreWork

    data class Commit(
        val operator: Long,
        val accepted: AcceptedPatch,
    ) : StoreWork

    data class Snapshot(
        val configuration: Configuration,
    ) : StoreWork

    data class History(
        val after: Long,
        val onOutcome: (Outcome<List<AcceptedPatch>>) -> Unit,
    ) : StoreWork
}

internal fun notRun(operator: Long): ConfigurationEvent =
    ConfigurationEvent.CommitEnded(operator, CommitResult.NOT_RUN)

/** Does [work], blocking until the platform has answered, and hands events to [onEvent]. */
internal fun doStoreWork(
    work: StoreWork,
    platform: Platform,
    clock: ServiceClock,
    onEvent: (ConfigurationEvent) -> Unit,
) {
    when (work) {
        is StoreWork.Read -> {
            onEvent(readEvent(platform, work.version, clock.readMilliseconds()))
        }

        is StoreWork.Commit -> {
            onEvent(ConfigurationEvent.CommitEnded(work.operator, commitPatch(platform, work.accepted)))
        }

        is StoreWork.Snapshot -> {
            reportSnapshot(work.configuration.version, writeSnapshot(platform, work.configuration))
        }

        is StoreWork.History -> {
            work.onOutcome(readPatches(platform, work.after.coerceIn(0, LAST_VERSION), Long.MAX_VALUE))
        }
    }
}

private fun readEvent(
    platform: Platform,
    version: Long,
    startMilliseconds: Long,
): ConfigurationEvent =
    when (val outcome = readConfiguration(platform, version, startMilliseconds)) {
        is Outcome.Success -> {
            outcome.value
        }

        is Outcome.Failure -> {
            logger.warn("The configuration could not be read: {}", outcome.fault)
            ConfigurationEvent.StoreUnreachable
        }
    }

private fun reportSnapshot(
    version: Long,
    outcome: Outcome<Unit>,
) {
    if (outcome is Outcome.Failure) logger.warn("Snapshot {} was not written: {}", version, outcome.fault)
}

private const val LAST_VERSION = Long.MAX_VALUE / 2
private val logger = LogManager.getLogger("configuration")
