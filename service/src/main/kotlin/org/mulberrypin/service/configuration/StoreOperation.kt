package org.mulberrypin.service.configuration

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.configuration.CommitResult
import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.platform.Platform
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration

/** Blocking operations that the store duty executes for the configuration duty and for operator requests. */
internal sealed interface StoreOperation {
    /** Reads the patches after [version]. */
    data class Read(
        val version: Long,
    ) : StoreOperation

    /** Commits a patch; [operatorRequest] is the number of the submission. */
    data class Commit(
        val operatorRequest: Long,
        val accepted: AcceptedPatch,
    ) : StoreOperation

    /** Writes a snapshot of [configuration]. */
    data class Snapshot(
        val configuration: Configuration,
    ) : StoreOperation

    /** Reads accepted patches after version [after] for an operator. */
    data class History(
        val after: Long,
        val onOutcome: (Outcome<List<AcceptedPatch>>) -> Unit,
    ) : StoreOperation
}

/** The event for a commit that could not be queued. */
internal fun commitNotRun(operatorRequest: Long): ConfigurationEvent =
    ConfigurationEvent.CommitEnded(operatorRequest, CommitResult.NOT_RUN)

/** Executes [operation], blocks until the platform responds, and passes resulting events to [onEvent]. */
internal fun executeStoreOperation(
    operation: StoreOperation,
    platform: Platform,
    clock: ServiceClock,
    onEvent: (ConfigurationEvent) -> Unit,
) {
    when (operation) {
        is StoreOperation.Read -> {
            onEvent(readEvent(platform, operation.version, clock.readMilliseconds()))
        }

        is StoreOperation.Commit -> {
            onEvent(
                ConfigurationEvent.CommitEnded(operation.operatorRequest, commitPatch(platform, operation.accepted)),
            )
        }

        is StoreOperation.Snapshot -> {
            logSnapshotFailure(operation.configuration.version, writeSnapshot(platform, operation.configuration))
        }

        is StoreOperation.History -> {
            operation.onOutcome(readPatches(platform, operation.after.coerceIn(0, MAX_VERSION), Long.MAX_VALUE))
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
            logger.warn("Reading the configuration from the platform failed: {}", outcome.fault)
            ConfigurationEvent.StoreUnreachable
        }
    }

private fun logSnapshotFailure(
    version: Long,
    outcome: Outcome<Unit>,
) {
    if (outcome is Outcome.Failure) logger.warn("Writing snapshot {} failed: {}", version, outcome.fault)
}

/** Leaves room for adding the read limit without overflow. */
private const val MAX_VERSION = Long.MAX_VALUE / 2
private val logger = LogManager.getLogger("configuration")
