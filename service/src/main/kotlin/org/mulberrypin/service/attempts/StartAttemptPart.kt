package org.mulberrypin.service.attempts

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.attempts.AttemptEffect
import org.mulberrypin.decisions.attempts.AttemptEvent
import org.mulberrypin.platform.TableService
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.service.EntryContext

/** Starts the duty that runs the decisions on attempt records and the duty that calls the table service. */
public fun startAttemptPart(context: EntryContext): AttemptPart {
    val ring = boundedRing<AttemptEvent>("attempts", EVENT_RING_CAPACITY)
    val storeRing = boundedRing<AttemptEffect>("attempts store", STORE_RING_CAPACITY)
    val duty = AttemptDuty(context, ring, storeRing)
    val decisionThread =
        startDuty("attempts", ring, context.clock, TICK_INTERVAL_MILLISECONDS, duty::handle, duty::tick)
    val storeThread = startDuty("attempts store", storeRing, context.clock, STORE_TICK_MILLISECONDS, { effect ->
        executeStoreEffect(context.platform.tables, effect) { event ->
            if (!ring.offer(event)) logger.warn("Attempt commit result dropped: the event ring is full.")
        }
    }) {}
    return AttemptPart(
        begin = duty::begin,
        finish = { ring.offer(AttemptEvent.Finished(it)) },
        unwrittenRecords = duty::unwrittenRecords,
        stop = {
            decisionThread.stop(STOP_TIMEOUT_MILLISECONDS)
            storeThread.stop(STOP_TIMEOUT_MILLISECONDS)
        },
    )
}

private fun executeStoreEffect(
    tables: TableService,
    effect: AttemptEffect,
    onEvent: (AttemptEvent) -> Unit,
) {
    when (effect) {
        is AttemptEffect.Commit -> {
            onEvent(commitAttempts(tables, effect.number, effect.writes))
        }

        is AttemptEffect.DeleteExpired -> {
            val outcome = deleteAttempts(tables, effect.prefix)
            if (outcome is Outcome.Failure) logger.warn("Cannot delete old attempt records: {}", outcome.fault)
        }

        is AttemptEffect.ReportOutcome -> {}
    }
}

private val logger = LogManager.getLogger("attempts")
private const val EVENT_RING_CAPACITY = 4_096
private const val STORE_RING_CAPACITY = 4
private const val TICK_INTERVAL_MILLISECONDS = 50L
private const val STORE_TICK_MILLISECONDS = 200L
private const val STOP_TIMEOUT_MILLISECONDS = 5_000L
