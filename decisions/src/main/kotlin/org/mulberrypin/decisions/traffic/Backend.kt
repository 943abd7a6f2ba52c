/** Tracks the state of each backend server as seen by this instance. */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentMap
import org.mulberrypin.decisions.work.LoadReport
import org.mulberrypin.decisions.work.ServerWork
import org.mulberrypin.decisions.work.answered
import org.mulberrypin.decisions.work.refused
import org.mulberrypin.decisions.work.reported
import org.mulberrypin.decisions.work.sent
import org.mulberrypin.schema.generated.BackendServerEntry

/**
 * A backend server with the load and failures that this instance has observed.
 *
 * @property inFlight requests and tasks that this instance has sent and that have not completed
 * @property failures consecutive failures
 * @property refusals consecutive tasks that the server refused without running them
 * @property avoidedUntilMilliseconds time until which other backend servers are preferred
 * @property work load, speed and connections of the server, as learned from its answers
 * @property isIsolated true while a task runs on the engine that must not have the company of others
 * @property pace how fast the engine generates the texts of this instance's tasks
 */
public data class Backend(
    val entry: BackendServerEntry,
    val inFlight: Int = 0,
    val failures: Int = 0,
    val refusals: Int = 0,
    val avoidedUntilMilliseconds: Long = 0,
    val work: ServerWork = ServerWork(),
    val isIsolated: Boolean = false,
    val pace: EnginePace = EnginePace(),
)

/** Weight version of [model] on this backend server; 0 if it does not serve the model. */
public fun Backend.versionOf(model: String): Long = entry.models.firstOrNull { it.name == model }?.version ?: 0

/** Applies a new list of backend servers, keeping the observed state of each server that has not restarted. */
internal fun PersistentMap<String, Backend>.reconciledWith(
    entries: List<BackendServerEntry>,
): PersistentMap<String, Backend> {
    val listedIds = entries.mapTo(HashSet()) { it.id }
    var backends = this
    keys.filter { it !in listedIds }.forEach { backends = backends.remove(it) }
    for (entry in entries) {
        val current = backends[entry.id]
        val isSame = current != null && current.entry.startedWallMilliseconds == entry.startedWallMilliseconds
        backends = backends.put(entry.id, if (isSame) current.updatedFrom(entry) else Backend(entry))
    }
    return backends
}

/** Clears the backoff after task refusals once the listed weights change: the engine has finished loading them. */
private fun Backend.updatedFrom(listed: BackendServerEntry): Backend {
    val hasLoaded = refusals > 0 && listed.models != entry.models
    return if (hasLoaded) copy(entry = listed, refusals = 0, avoidedUntilMilliseconds = 0) else copy(entry = listed)
}

internal fun PersistentMap<String, Backend>.updated(
    id: String,
    change: (Backend) -> Backend,
): PersistentMap<String, Backend> = this[id]?.let { put(id, change(it)) } ?: this

/** Adds a request or task to the in-flight count. */
internal fun Backend.acquired(nowMilliseconds: Long): Backend =
    copy(inFlight = inFlight + 1, work = work.sent(nowMilliseconds))

/** Removes a request or task from the in-flight count; an isolated task was the only one. */
internal fun Backend.released(): Backend = copy(inFlight = (inFlight - 1).coerceAtLeast(0), isIsolated = false)

/** Clears failures, refusals and the backoff. */
internal fun Backend.succeeded(): Backend = copy(failures = 0, refusals = 0, avoidedUntilMilliseconds = 0)

/** Backs off from the server for a time that doubles with each consecutive failure, up to a limit. */
internal fun Backend.failed(nowMilliseconds: Long): Backend {
    val count = failures + 1
    val backoff = (FIRST_BACKOFF_MILLISECONDS shl (count - 1).coerceAtMost(MAX_BACKOFF_DOUBLINGS))
    return copy(failures = count, avoidedUntilMilliseconds = nowMilliseconds + backoff)
}

/** Backs off from a server with a full queue for about as long as the queue takes to drain. */
internal fun Backend.overloaded(nowMilliseconds: Long): Backend =
    copy(avoidedUntilMilliseconds = maxOf(avoidedUntilMilliseconds, nowMilliseconds + FULL_QUEUE_BACKOFF_MILLISECONDS))

/**
 * Backs off from an engine that refused a task, which engines do while they load weights. Refusals during a backoff
 * are not counted again.
 */
internal fun Backend.refused(nowMilliseconds: Long): Backend {
    if (avoidedUntilMilliseconds > nowMilliseconds) return this
    val backoff = FIRST_REFUSAL_BACKOFF_MILLISECONDS shl refusals.coerceAtMost(MAX_REFUSAL_DOUBLINGS)
    return copy(refusals = refusals + 1, avoidedUntilMilliseconds = nowMilliseconds + backoff)
}

/** Removes an answered request or task from the in-flight count, and keeps its connection and the reported load. */
internal fun Backend.answered(
    report: LoadReport?,
    nowMilliseconds: Long,
): Backend = released().withLoad(report, nowMilliseconds).let { it.copy(work = it.work.answered(nowMilliseconds)) }

/** Adds the load reported with an answer, which counts what this instance has in flight there. */
internal fun Backend.withLoad(
    report: LoadReport?,
    nowMilliseconds: Long,
): Backend = copy(work = work.reported(report, inFlight, nowMilliseconds))

/** Notes that the server's queue was full, and backs off from it. */
internal fun Backend.refusedRequest(nowMilliseconds: Long): Backend =
    overloaded(nowMilliseconds).copy(work = work.refused(entry.slots, inFlight, nowMilliseconds))

/** Uniformly distributed hash of [seed] and [name] that is the same on all instances. */
internal fun stableHash(
    seed: Long,
    name: String,
): Long {
    var hash = seed * FNV_PRIME + FNV_OFFSET_BASIS
    name.forEach { hash = (hash xor it.code.toLong()) * FNV_PRIME }
    return mixed(hash)
}

/** Spreads each bit of [hash] over all bits; names that differ in their last character alone would tie otherwise. */
private fun mixed(hash: Long): Long {
    val first = (hash xor (hash ushr HASH_FOLD_BITS)) * FIRST_MIX_FACTOR
    val second = (first xor (first ushr HASH_FOLD_BITS)) * SECOND_MIX_FACTOR
    return second xor (second ushr HASH_FOLD_BITS)
}

/** Backoff after the first failure, in milliseconds: about the time until a restarted process is detected. */
private const val FIRST_BACKOFF_MILLISECONDS = 500L

/** Maximum number of doublings; gives a maximum backoff of 4 s, the boot time of a replacement server. */
private const val MAX_BACKOFF_DOUBLINGS = 3

/** Backoff after a refusal due to a full queue, in milliseconds: about the run time of one short request. */
private const val FULL_QUEUE_BACKOFF_MILLISECONDS = 50L

/** Backoff after the first refused task, in milliseconds: a tenth of the time that loading weights takes. */
private const val FIRST_REFUSAL_BACKOFF_MILLISECONDS = 100L

/** Maximum number of doublings after refusals; keeps the backoff below half of the time that loading weights takes. */
private const val MAX_REFUSAL_DOUBLINGS = 2

// Prime and offset basis of the 64-bit FNV-1a hash.
private const val FNV_PRIME = 1_099_511_628_211L
private const val FNV_OFFSET_BASIS = -3_750_763_034_362_895_579L

// Shift and factors of the finalizer of 64-bit MurmurHash3.
private const val HASH_FOLD_BITS = 33
private const val FIRST_MIX_FACTOR = -49_064_778_989_728_563L
private const val SECOND_MIX_FACTOR = -4_265_267_296_055_464_877L
