package org.mulberrypin.service.attempts

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.attempts.AttemptBegin
import org.mulberrypin.decisions.attempts.AttemptEffect
import org.mulberrypin.decisions.attempts.AttemptEvent
import org.mulberrypin.decisions.attempts.AttemptOutcome
import org.mulberrypin.decisions.attempts.AttemptsState
import org.mulberrypin.decisions.attempts.decideAttempts
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.service.EntryContext
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.ConcurrentHashMap

/**
 * Carries out what the decision about attempts asks for.
 *
 * When its ring is full, a new attempt is refused as not run and the end of an attempt is left out. The ring of the
 * store duty holds one commit and one deletion at a time; a commit that does not fit counts as failed and is repeated.
 * A commit whose result is dropped counts as one whose answer was lost.
 */
internal class AttemptDuty(
    private val context: EntryContext,
    private val ring: BoundedRing<AttemptEvent>,
    private val storeRing: BoundedRing<AttemptEffect>,
) {
    private var state = AttemptsState("${context.settings.instance.name}/${context.incarnation}")

    /** Records that are not written yet. */
    @Volatile
    var waiting: Int = 0
        private set

    private val receivers = ConcurrentHashMap<Long, (AttemptOutcome) -> Unit>()

    fun begin(
        begin: AttemptBegin,
        onOutcome: (AttemptOutcome) -> Unit,
    ): Boolean {
        receivers[begin.request] = onOutcome
        val wallMilliseconds = context.clock.readWallMilliseconds()
        val name = attemptName(begin.team, begin.idempotencyKey)
        val taken = ring.offer(AttemptEvent.Begun(begin, name, wallMilliseconds))
        if (!taken) receivers.remove(begin.request)
        return taken
    }

    fun tick() {
        handle(AttemptEvent.Tick(context.clock.readWallMilliseconds(), System.nanoTime() / NANOSECONDS_PER_MICROSECOND))
    }

    fun handle(event: AttemptEvent) {
        val transition = decideAttempts(state, event, context.clock.readMilliseconds())
        state = transition.state
        waiting = state.waiting.size + state.committing.size
        transition.effects.forEach(::carryOut)
    }

    private fun carryOut(effect: AttemptEffect) {
        when (effect) {
            is AttemptEffect.Answer -> {
                receivers.remove(effect.request)?.invoke(effect.outcome)
            }

            is AttemptEffect.Commit -> {
                if (!storeRing.offer(effect)) handle(AttemptEvent.CommitFailed(effect.number, uncertain = false))
            }

            is AttemptEffect.Forget -> {
                if (!storeRing.offer(effect)) logger.debug("Old records are kept until the next turn.")
            }
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("attempts")
        private const val NANOSECONDS_PER_MICROSECOND = 1_000L
    }
}

/** The digest of a team and its idempotency key; the lengths keep two pairs apart that read the same when joined. */
internal fun attemptName(
    team: String,
    idempotencyKey: String,
): String {
    val text = "${team.length}:$team:$idempotencyKey"
    return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
}
