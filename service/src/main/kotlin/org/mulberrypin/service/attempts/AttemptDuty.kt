package org.mulberrypin.service.attempts

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.attempts.AttemptEffect
import org.mulberrypin.decisions.attempts.AttemptEvent
import org.mulberrypin.decisions.attempts.AttemptOutcome
import org.mulberrypin.decisions.attempts.AttemptRequest
import org.mulberrypin.decisions.attempts.AttemptsState
import org.mulberrypin.decisions.attempts.decideAttempts
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.service.EntryContext
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.ConcurrentHashMap

/**
 * Runs the decisions on attempt records and executes their effects.
 *
 * If the duty's ring is full, a new attempt is refused as not run, and the result of a finished one is not recorded.
 * The store duty's ring holds at most one commit and one deletion at a time; a commit that it does not accept is
 * treated as failed and retried. A commit whose result is dropped is treated as one whose response was lost.
 */
internal class AttemptDuty(
    private val context: EntryContext,
    private val ring: BoundedRing<AttemptEvent>,
    private val storeRing: BoundedRing<AttemptEffect>,
) {
    private var state = AttemptsState("${context.settings.instance.name}/${context.incarnation}")

    /** Number of records that are not written yet. */
    @Volatile
    var unwrittenRecords: Int = 0
        private set

    private val outcomeCallbacks = ConcurrentHashMap<Long, (AttemptOutcome) -> Unit>()

    fun begin(
        attempt: AttemptRequest,
        onOutcome: (AttemptOutcome) -> Unit,
    ): Boolean {
        outcomeCallbacks[attempt.request] = onOutcome
        val wallMilliseconds = context.clock.readWallMilliseconds()
        val name = attemptRecordName(attempt.team, attempt.idempotencyKey)
        val isOffered = ring.offer(AttemptEvent.AttemptRequested(attempt, name, wallMilliseconds))
        if (!isOffered) outcomeCallbacks.remove(attempt.request)
        return isOffered
    }

    fun tick() {
        handle(AttemptEvent.Tick(context.clock.readWallMilliseconds(), System.nanoTime() / NANOSECONDS_PER_MICROSECOND))
    }

    fun handle(event: AttemptEvent) {
        val transition = decideAttempts(state, event, context.clock.readMilliseconds())
        state = transition.state
        unwrittenRecords = state.queued.size + state.committing.size
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: AttemptEffect) {
        when (effect) {
            is AttemptEffect.ReportOutcome -> {
                outcomeCallbacks.remove(effect.request)?.invoke(effect.outcome)
            }

            is AttemptEffect.Commit -> {
                if (!storeRing.offer(effect)) handle(AttemptEvent.CommitFailed(effect.number, mayHaveCommitted = false))
            }

            is AttemptEffect.DeleteExpired -> {
                if (!storeRing.offer(effect)) logger.debug("Old attempt records not deleted: the store ring is full.")
            }
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("attempts")
        private const val NANOSECONDS_PER_MICROSECOND = 1_000L
    }
}

/**
 * Returns the digest of a team and an idempotency key. The length prefix gives two pairs that would concatenate to the
 * same text, such as (a, b:c) and (a:b, c), different digests.
 */
internal fun attemptRecordName(
    team: String,
    idempotencyKey: String,
): String {
    val text = "${team.length}:$team:$idempotencyKey"
    return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
}
