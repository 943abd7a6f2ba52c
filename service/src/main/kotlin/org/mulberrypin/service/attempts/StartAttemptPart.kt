package org.mulberrypin.service.attempts

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.attempts.AttemptEffect
import org.mulberrypin.decisions.attempts.AttemptEvent
import org.mulberrypin.platform.TableService
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.service.EntryContext

/** Starts the duty that decides about attempts and the duty that waits for the table service. */
public fun startAttemptPart(context: EntryContext): AttemptPart {
    val ring = boundedRing<AttemptEvent>("attempts", EVENT_CAPACITY)
    val storeRing = boundedRing<AttemptEffect>("attempts store", STORE_CAPACITY)
    val duty = AttemptDuty(context, ring, storeRing)
    val deciding = startDuty("attempts", ring, context.clock, TICK_MILLISECONDS, duty::handle, duty::tick)
    val storing = startDuty("attempts store", storeRing, context.clock, IDLE_MILLISECONDS, { effect ->
        callStore(context.platform.tables, effect) { event ->
            if (!ring.offer(event)) logger.warn("The result of a commit is dropped.")
        }
    }) {}
    return AttemptPart(
        begin = duty::begin,
        finish = { ring.offer(AttemptEvent.Finished(it)) },
        waiting = duty::waiting,
        stop = {
            deciding.stop(STOP_MILLISECONDS)
            storing.stop(STOP_MILLISECONDS)
        },
    )
}

private fun callStore(
    tables: TableService,
    effect: AttemptEffect,
    onEvent: (AttemptEvent) -> Unit,
) {
    when (effect) {
        is AttemptEffect.Commit -> {
            onEvent(commitAttempts(tables, effect.number, effect.operations))
        }

        is AttemptEffect.Forget -> {
            val outcome = forgetAttempts(tables, effect.prefix)
            if (outcome is Outcome.Failure) logger.warn("Old records could not be deleted: {}", outcome.fault)
        }

        is AttemptEffect.Answer -> {}
    }
}

private val logger = LogManager.getLogger("attempts")
private const val EVENT_CAPACITY = 4_096
private const val STORE_CAPACITY = 4
private const val TICK_MILLISECONDS = 50L
private const val IDLE_MILLISECONDS = 200L
private const val STOP_MILLISECONDS = 5_000L
