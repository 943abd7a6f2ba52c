/**
 * Recognises the content that crashes each backend server on which it runs. A content that was running when a
 * backend server crashed becomes a suspect. Two suspects never run on the same backend server, so that the next
 * crash tells them apart; a whole answer clears a suspect.
 */
package org.mulberrypin.decisions.requests

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Contents that were running when backend servers crashed, at most [CONTENTS_AT_MOST]; the oldest goes first.
 *
 * @property suspects crashes by digest of the content, oldest content first
 */
public data class CrashTable(
    val suspects: PersistentMap<String, CrashRecord> = persistentMapOf(),
)

/**
 * The crashes of one content.
 *
 * @property servers names of the backend servers that crashed
 * @property lastMilliseconds time of the latest crash
 */
public data class CrashRecord(
    val servers: Set<String>,
    val lastMilliseconds: Long,
)

/** The table after [server] crashed while the content ran. */
internal fun CrashTable.withCrash(
    contentDigest: String,
    server: String,
    nowMilliseconds: Long,
): CrashTable {
    val servers = suspects[contentDigest]?.servers.orEmpty() + server
    val grown = suspects.remove(contentDigest).put(contentDigest, CrashRecord(servers, nowMilliseconds))
    return CrashTable(if (grown.size > CONTENTS_AT_MOST) grown.remove(grown.keys.first()) else grown)
}

/** The table after the content was answered whole. */
internal fun CrashTable.cleared(contentDigest: String): CrashTable =
    if (contentDigest in suspects) CrashTable(suspects.remove(contentDigest)) else this

/** The table without contents whose latest crash is older than [isolationMilliseconds]. */
internal fun CrashTable.released(
    nowMilliseconds: Long,
    isolationMilliseconds: Long,
): CrashTable {
    val expired = suspects.filterValues { nowMilliseconds - it.lastMilliseconds >= isolationMilliseconds }
    return if (expired.isEmpty()) {
        this
    } else {
        CrashTable(
            expired.keys.fold(suspects) { left, digest -> left.remove(digest) },
        )
    }
}

/** True when the content ran during at least one crash. */
internal fun CrashTable.suspects(contentDigest: String): Boolean = contentDigest in suspects

/** True when the content crashed [crashes] backend servers and must not run. */
internal fun CrashTable.isolates(
    contentDigest: String,
    crashes: Int,
): Boolean = (suspects[contentDigest]?.servers?.size ?: 0) >= crashes

internal const val CONTENTS_AT_MOST = 1_024
