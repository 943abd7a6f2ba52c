/** What an instance believes of the backend servers, and which one it chooses. */
package org.mulberrypin.decisions.traffic

import kotlinx.collections.immutable.PersistentMap
import org.mulberrypin.schema.generated.BackendServerEntry

/**
 * A backend server as this instance sees it.
 *
 * @property inFlight requests and tasks that this instance has sent and that are not over
 * @property failures failures in a row
 * @property refusals tasks in a row that were refused as not run
 * @property avoidedUntilMilliseconds time before which others are preferred
 * @property load requests that the backend server last reported as running or waiting
 */
public data class Backend(
    val entry: BackendServerEntry,
    val inFlight: Int = 0,
    val failures: Int = 0,
    val refusals: Int = 0,
    val avoidedUntilMilliseconds: Long = 0,
    val load: Int = 0,
    val loadMilliseconds: Long = Long.MIN_VALUE / 2,
)

/** Version of [model] that the backend server has; 0 when it does not serve the model. */
public fun Backend.versionOf(model: String): Long = entry.models.firstOrNull { it.name == model }?.version ?: 0

/** Replaces what the platform lists, and keeps what this instance has seen itself. */
internal fun PersistentMap<String, Backend>.listed(entries: List<BackendServerEntry>): PersistentMap<String, Backend> {
    val names = entries.mapTo(HashSet()) { it.id }
    var table = this
    keys.filter { it !in names }.forEach { table = table.remove(it) }
    for (entry in entries) {
        val known = table[entry.id]
        val isSame = known != null && known.entry.startedWallMilliseconds == entry.startedWallMilliseconds
        table = table.put(entry.id, if (isSame) known.relisted(entry) else Backend(entry))
    }
    return table
}

/** An engine that lists other weights has ended its load, and takes tasks again. */
private fun Backend.relisted(listed: BackendServerEntry): Backend {
    val hasLoaded = refusals > 0 && listed.models != entry.models
    return if (hasLoaded) copy(entry = listed, refusals = 0, avoidedUntilMilliseconds = 0) else copy(entry = listed)
}

internal fun PersistentMap<String, Backend>.changed(
    id: String,
    change: (Backend) -> Backend,
): PersistentMap<String, Backend> = this[id]?.let { put(id, change(it)) } ?: this

internal fun Backend.sent(): Backend = copy(inFlight = inFlight + 1)

internal fun Backend.released(): Backend = copy(inFlight = (inFlight - 1).coerceAtLeast(0))

internal fun Backend.succeeded(): Backend = copy(failures = 0, refusals = 0, avoidedUntilMilliseconds = 0)

/** Avoids the backend server for a time that doubles with each failure in a row. */
internal fun Backend.failed(nowMilliseconds: Long): Backend {
    val count = failures + 1
    val pause = (FIRST_PAUSE_MILLISECONDS shl (count - 1).coerceAtMost(PAUSE_DOUBLINGS))
    return copy(failures = count, avoidedUntilMilliseconds = nowMilliseconds + pause)
}

/** Avoids the backend server for the moment that it takes to work off its queue. */
internal fun Backend.full(nowMilliseconds: Long): Backend =
    copy(avoidedUntilMilliseconds = maxOf(avoidedUntilMilliseconds, nowMilliseconds + FULL_PAUSE_MILLISECONDS))

/** Avoids an engine that refused a task, as it does while it loads weights; refusals of one moment count once. */
internal fun Backend.refusedTask(nowMilliseconds: Long): Backend {
    if (avoidedUntilMilliseconds > nowMilliseconds) return this
    val pause = REFUSED_PAUSE_MILLISECONDS shl refusals.coerceAtMost(REFUSED_DOUBLINGS)
    return copy(refusals = refusals + 1, avoidedUntilMilliseconds = nowMilliseconds + pause)
}

/** Chooses for a request: preferably one that is not avoided, then the least busy, then the nearest. */
internal fun chooseBackend(
    candidates: List<Backend>,
    failureDomain: String,
    seed: Long,
    nowMilliseconds: Long,
): Backend? =
    candidates.minWithOrNull(
        compareBy<Backend> { it.avoidedUntilMilliseconds > nowMilliseconds }
            .thenBy { it.occupancy(nowMilliseconds) }
            .thenBy { it.entry.failureDomain != failureDomain }
            .thenBy { mix(seed, it.entry.id) },
    )

/** Share of the slots that are taken, in steps of an eighth so that the nearest of equally busy servers wins. */
private fun Backend.occupancy(nowMilliseconds: Long): Int {
    val reported = if (nowMilliseconds - loadMilliseconds < LOAD_AGE_MILLISECONDS) load else 0
    return maxOf(inFlight, reported) * OCCUPANCY_STEPS / entry.slots.coerceAtLeast(1)
}

/** A number that spreads evenly over [seed] and [name] and is the same on all instances. */
internal fun mix(
    seed: Long,
    name: String,
): Long {
    var hash = seed * HASH_FACTOR + HASH_START
    name.forEach { hash = (hash xor it.code.toLong()) * HASH_FACTOR }
    return hash xor (hash ushr HASH_SHIFT)
}

/** Pause after a first failure, in milliseconds; about the time in which a crashed process is noticed to be back. */
private const val FIRST_PAUSE_MILLISECONDS = 500L

/** Doublings of the pause; the longest is 4 s, the time a replaced server takes to boot. */
private const val PAUSE_DOUBLINGS = 3

/** Pause after a refusal for a full queue, in milliseconds: about the work of one short request. */
private const val FULL_PAUSE_MILLISECONDS = 50L

/** Pause after the first refusal of a task, in milliseconds; a tenth of the time that a load of weights takes. */
private const val REFUSED_PAUSE_MILLISECONDS = 100L

/** Doublings of the pause after refusals; the longest stays under half of a load of weights. */
private const val REFUSED_DOUBLINGS = 2

/** Age at which a load report says nothing any more, in milliseconds. */
private const val LOAD_AGE_MILLISECONDS = 300L
private const val OCCUPANCY_STEPS = 8

// The multiplier and the offset of the 64-bit FNV hash.
private const val HASH_FACTOR = 1_099_511_628_211L
private const val HASH_START = -3_750_763_034_362_895_579L
private const val HASH_SHIFT = 29
