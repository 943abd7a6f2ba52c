/**
 * Detects request content that crashes backend servers ("poison"). Content that was running when a backend server
 * crashed becomes a suspect. Two suspects never run on the same backend server, so that the next crash identifies the
 * cause; a complete response clears a suspect.
 */
package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Request content that was running when backend servers crashed; beyond [MAX_SUSPECTS], the least
 * recently updated one is evicted.
 *
 * @property suspects crashes by content digest, in order of the latest crash
 */
public data class CrashTable(
    val suspects: PersistentMap<String, CrashRecord> = persistentMapOf(),
)

/**
 * Crashes during which the same request content was running.
 *
 * @property servers names of the backend servers that crashed
 * @property lastCrashMilliseconds time of the latest crash
 */
public data class CrashRecord(
    val servers: Set<String>,
    val lastCrashMilliseconds: Long,
)

/** Records that [server] crashed while it ran the content. */
internal fun CrashTable.withCrash(
    contentDigest: String,
    server: String,
    nowMilliseconds: Long,
): CrashTable {
    val servers = suspects[contentDigest]?.servers.orEmpty() + server
    val updated = suspects.remove(contentDigest).put(contentDigest, CrashRecord(servers, nowMilliseconds))
    return CrashTable(if (updated.size > MAX_SUSPECTS) updated.remove(updated.keys.first()) else updated)
}

/** Clears the content after a complete response. */
internal fun CrashTable.withoutContent(contentDigest: String): CrashTable =
    if (contentDigest in suspects) CrashTable(suspects.remove(contentDigest)) else this

/** Removes content whose latest crash is at least [isolationMilliseconds] ago. */
internal fun CrashTable.withoutExpired(
    nowMilliseconds: Long,
    isolationMilliseconds: Long,
): CrashTable {
    val expired = suspects.filterValues { nowMilliseconds - it.lastCrashMilliseconds >= isolationMilliseconds }
    return if (expired.isEmpty()) {
        this
    } else {
        CrashTable(
            expired.keys.fold(suspects) { remaining, digest -> remaining.remove(digest) },
        )
    }
}

/** True when the content was running during at least one crash. */
internal fun CrashTable.isSuspect(contentDigest: String): Boolean = contentDigest in suspects

/** True when at least [crashLimit] backend servers crashed while running the content, so that it must not run. */
internal fun CrashTable.isIsolated(
    contentDigest: String,
    crashLimit: Int,
): Boolean = (suspects[contentDigest]?.servers?.size ?: 0) >= crashLimit

internal const val MAX_SUSPECTS = 1_024
