/**
 * Tracks the contents of clients' requests under which backend servers crashed. A client sends such a request again,
 * under another identifier and at any instance, so crashes are counted by content, and instances exchange their counts
 * with their heartbeats. Of several records of a content, the latest counts. A lost connection counts as a crash, since
 * a crash shows in nothing else at first; any response clears the content.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.CrashRecord

/**
 * Time until a content is sent again, counted from its last crash, in milliseconds; 0 if it need not wait. From the
 * third crash on, each trial costs the callers of a server their requests, so the times grow quickly.
 */
internal fun CrashSuspect.holdMilliseconds(): Long =
    if (crashes < CRASHES_UNTIL_HELD) 0 else holdTimes.getOrElse(crashes - CRASHES_UNTIL_HELD) { holdTimes.last() }

/** Whether requests of [content] are refused now. After its time, one instance alone may try it, once at a time. */
internal fun TrafficState.isHeld(
    content: String,
    nowMilliseconds: Long,
): Boolean {
    val suspect = suspects[content] ?: return false
    if (suspect.crashes < CRASHES_UNTIL_HELD) return false
    val isDue = nowMilliseconds - suspect.lastMilliseconds >= suspect.holdMilliseconds()
    return !isDue || !isTrialInstance(content) || requests.values.any { it.content == content && it.server != null }
}

/** Whether servers crashed under [content] and none has run it since. */
internal fun TrafficState.isSuspect(content: String): Boolean = (suspects[content]?.crashes ?: 0) > 0

/** Time until a held content may be sent again, in milliseconds; null if it is not held. */
internal fun TrafficState.remainingHold(
    content: String,
    nowMilliseconds: Long,
): Long? {
    val suspect = suspects[content] ?: return null
    return (suspect.lastMilliseconds + suspect.holdMilliseconds() - nowMilliseconds).takeIf { it > 0 }
}

private fun TrafficState.isTrialInstance(content: String): Boolean {
    val seed = stableHash(0, content)
    return liveInstances.maxByOrNull { stableHash(seed, it.name) }?.let { it.name == identity.name } ?: true
}

/**
 * Counts the loss of the connection of [request]'s current attempt. Attempts that were under way at the same time count
 * as one crash, so that the loss of several servers at once does not make a frequent content a suspect.
 */
internal fun TrafficState.withCrash(
    request: ForwardedRequest,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val known = suspects[request.content]
    val isConcurrent = known != null && known.crashes > 0 && request.sentMilliseconds < known.lastMilliseconds
    if (request.content.isEmpty() || isConcurrent) return Transition(this)
    val crashes = (known?.crashes ?: 0) + 1
    val isAnnounced = known?.isAnnounced == true || crashes >= CRASHES_UNTIL_ANNOUNCED
    val explanation = TrafficEffect.RecordDecision(
        request.id,
        "crash suspected",
        request.server.orEmpty(),
        "content=${request.content} crashes=$crashes",
    )
    return withSuspect(request.content, CrashSuspect(crashes, nowMilliseconds, isAnnounced))
        .let { it.copy(effects = listOf(explanation) + it.effects) }
}

/** Announces a content whose request ends here, since its client may send it to another instance next. */
internal fun TrafficState.announceSuspect(content: String): Transition<TrafficState, TrafficEffect> {
    val suspect = suspects[content]?.takeIf { it.crashes > 0 && !it.isAnnounced } ?: return Transition(this)
    return withSuspect(content, suspect.copy(isAnnounced = true))
}

/** Clears a content that a server has run without crashing. */
internal fun TrafficState.clearSuspect(
    content: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val suspect = suspects[content] ?: return Transition(this)
    val isKnownElsewhere = suspect.isAnnounced || suspect.crashes >= CRASHES_UNTIL_ANNOUNCED
    return if (isKnownElsewhere) {
        withSuspect(content, CrashSuspect(0, nowMilliseconds, isAnnounced = true))
    } else {
        Transition(copy(suspects = suspects.remove(content)))
    }
}

private fun TrafficState.withSuspect(
    content: String,
    suspect: CrashSuspect,
): Transition<TrafficState, TrafficEffect> {
    val isFull = content !in suspects && suspects.size >= MAX_SUSPECTS
    val oldest = if (isFull) suspects.minByOrNull { it.value.lastMilliseconds }?.key else null
    val kept = oldest?.let { suspects.remove(it) } ?: suspects
    val next = copy(suspects = kept.put(content, suspect))
    return Transition(next, if (suspect.isAnnounced) listOf(next.announcement()) else emptyList())
}

private fun TrafficState.announcement(): TrafficEffect =
    TrafficEffect.AnnounceSuspects(
        suspects.entries
            .filter { it.value.isAnnounced }
            .sortedByDescending { it.value.lastMilliseconds }
            .take(MAX_ANNOUNCED)
            .associate { it.key to it.value },
    )

/** Takes over the records that other instances announce; the latest record of a content counts. */
internal fun TrafficState.mergeCrashRecords(
    records: List<CrashRecord>,
    nowMilliseconds: Long,
    wallMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    var merged = suspects
    for (record in records) {
        val age = (wallMilliseconds - record.lastWallMilliseconds).coerceAtLeast(0)
        val known = merged[record.content]
        val isNewer = known == null || nowMilliseconds - age > known.lastMilliseconds
        if (isNewer && (known != null || merged.size < MAX_SUSPECTS)) {
            merged = merged.put(record.content, CrashSuspect(record.crashes, nowMilliseconds - age))
        }
    }
    return Transition(copy(suspects = merged))
}

/** Forgets contents long after their last crash. */
internal fun TrafficState.expireSuspects(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    val expired = suspects.filterValues {
        nowMilliseconds - it.lastMilliseconds > it.holdMilliseconds() + SUSPECT_EXPIRY_MILLISECONDS
    }
    if (expired.isEmpty()) return Transition(this)
    val next = copy(suspects = expired.keys.fold(suspects) { rest, content -> rest.remove(content) })
    val wasAnnounced = expired.values.any { it.isAnnounced }
    return Transition(next, if (wasAnnounced) listOf(next.announcement()) else emptyList())
}

/** Crashes after which the requests of a content are refused. */
internal const val CRASHES_UNTIL_HELD = 3

/** Crashes after which a content is announced even while its request is retried. */
private const val CRASHES_UNTIL_ANNOUNCED = 2

/** Hold after the third crash and each further one, in milliseconds: three trials within minutes, then one a day. */
private val holdTimes = listOf(30_000L, 120_000L, 600_000L, 86_400_000L)

/** Time for which a content stays a suspect beyond its hold, in milliseconds. */
private const val SUSPECT_EXPIRY_MILLISECONDS = 600_000L

/** Maximum number of suspects; the oldest is forgotten first. */
private const val MAX_SUSPECTS = 1_000

/** Maximum number of records that one instance announces; they add 6 KB to its heartbeat. */
private const val MAX_ANNOUNCED = 64
