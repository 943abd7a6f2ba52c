/**
 * Decides how an instance watches one table of the store: it scans the table once, then polls a change feed. When the
 * feed no longer has the required history, the table is scanned again.
 */
package org.mulberrypin.service.deployment

import org.mulberrypin.platform.deployment.FeedRequest
import org.mulberrypin.platform.deployment.FeedResult
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.SMALLEST_KEY_CHARACTER
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.runtime.Outcome

/**
 * State of one watched table.
 *
 * @property partitions partitions to scan
 * @property feedWaitMilliseconds longest time for which the store may hold a call of the feed, in milliseconds
 * @property rows known rows by partition and key
 * @property unreadPartitions partitions that the current scan still has to read
 * @property fromKey key at which the next page of the current partition starts
 * @property scanVersion version of the first page of the current scan, from which the feed continues
 * @property version version up to which changes are known; null during a scan
 * @property callNumber number of the call in flight, used to ignore late responses; 0 when there is none
 * @property sentAtMilliseconds time at which the call in flight was sent, by the monotonic clock
 * @property callCount number of calls sent so far
 * @property failures number of consecutive failed calls
 * @property retryAtMilliseconds earliest time of the next call after a failure, by the monotonic clock
 */
internal data class FollowedTable(
    val table: String,
    val partitions: List<String>,
    val feedWaitMilliseconds: Long,
    val rows: Map<Pair<String, String>, StoredRow> = emptyMap(),
    val unreadPartitions: List<String> = partitions,
    val fromKey: String = "",
    val scanVersion: Long? = null,
    val version: Long? = null,
    val callNumber: Long = 0,
    val sentAtMilliseconds: Long = 0,
    val callCount: Long = 0,
    val failures: Int = 0,
    val retryAtMilliseconds: Long = 0,
)

/** A call to the store on behalf of a watched table. */
internal sealed interface FollowCall {
    data class Read(
        val callNumber: Long,
        val range: RowRange,
    ) : FollowCall

    data class Follow(
        val callNumber: Long,
        val feed: FeedRequest,
    ) : FollowCall
}

/**
 * Returns the next call and the state after it is sent; null while a call is in flight or a retry is delayed. A call
 * that is far past its timeout has lost its response inside this process and counts as failed, since the table would
 * otherwise be followed no more. After a failure, the store is asked to answer at once, since its return would be
 * noticed only with the next change otherwise.
 */
internal fun FollowedTable.nextCall(nowMilliseconds: Long): Pair<FollowedTable, FollowCall>? {
    val isLost = callNumber != 0L && nowMilliseconds - sentAtMilliseconds > LOST_CALL_MILLISECONDS
    if (isLost) return withFailure(nowMilliseconds).copy(retryAtMilliseconds = 0).nextCall(nowMilliseconds)
    if (callNumber != 0L || nowMilliseconds < retryAtMilliseconds) return null
    val nextNumber = callCount + 1
    val updated = copy(callNumber = nextNumber, callCount = nextNumber, sentAtMilliseconds = nowMilliseconds)
    val knownVersion = version
    val call = if (knownVersion == null) {
        FollowCall.Read(nextNumber, RowRange(table, unreadPartitions.first(), fromKey))
    } else {
        val wait = if (failures > 0) 0 else feedWaitMilliseconds
        FollowCall.Follow(nextNumber, FeedRequest(table, knownVersion, wait))
    }
    return updated to call
}

/** Applies a page of the scan, or the failure to read it. */
internal fun FollowedTable.applyPage(
    answeredCall: Long,
    outcome: Outcome<RowPage>,
    nowMilliseconds: Long,
): FollowedTable {
    if (answeredCall != callNumber) return this
    if (outcome !is Outcome.Success) return withFailure(nowMilliseconds)
    val page = outcome.value
    val read = rows + page.rows.associateBy { it.partition to it.key }
    val startVersion = scanVersion ?: page.version
    val next = copy(rows = read, scanVersion = startVersion, callNumber = 0, failures = 0)
    return when {
        page.hasMore && page.rows.isNotEmpty() -> next.copy(fromKey = page.rows.last().key + SMALLEST_KEY_CHARACTER)
        unreadPartitions.size > 1 -> next.copy(unreadPartitions = unreadPartitions.drop(1), fromKey = "")
        else -> next.copy(unreadPartitions = emptyList(), fromKey = "", version = startVersion)
    }
}

/** Applies a response of the change feed, or the failure of the call. */
internal fun FollowedTable.applyFeed(
    answeredCall: Long,
    outcome: Outcome<FeedResult>,
    nowMilliseconds: Long,
): FollowedTable {
    if (answeredCall != callNumber) return this
    return when (outcome) {
        is Outcome.Failure -> withFailure(nowMilliseconds)

        is Outcome.Success -> when (val result = outcome.value) {
            is FeedResult.HistoryUnavailable -> copy(
                rows = emptyMap(),
                unreadPartitions = partitions,
                scanVersion = null,
                version = null,
                callNumber = 0,
            )

            is FeedResult.Changes -> withChanges(result)
        }
    }
}

private fun FollowedTable.withChanges(result: FeedResult.Changes): FollowedTable {
    var next = rows
    for (row in result.rows) {
        val key = row.partition to row.key
        val known = next[key]?.version ?: 0
        next = when {
            // A page of the scan may hold a row that was written after the deletion that the feed reports.
            row.deleted && row.version in 1 until known -> next

            row.deleted -> next - key

            known >= row.version -> next

            else -> next + (key to row)
        }
    }
    return copy(rows = next, version = maxOf(version ?: 0, result.version), callNumber = 0, failures = 0)
}

private fun FollowedTable.withFailure(nowMilliseconds: Long): FollowedTable =
    copy(callNumber = 0, failures = failures + 1, retryAtMilliseconds = nowMilliseconds + RETRY_DELAY_MILLISECONDS)

/**
 * Returns the longest wait of a feed, in milliseconds. A silent connection is noticed shortly after this wait, which
 * leaves the rest of [contactMilliseconds] to connect again and read what was missed.
 */
internal fun feedWaitMilliseconds(contactMilliseconds: Long): Long =
    (contactMilliseconds / 2).coerceIn(MIN_FEED_WAIT_MILLISECONDS, MAX_FEED_WAIT_MILLISECONDS)

private const val MIN_FEED_WAIT_MILLISECONDS = 500L

/** Maximum of the wait, in milliseconds; a call counts as lost well after it. */
private const val MAX_FEED_WAIT_MILLISECONDS = 2_000L

/** Age of a call in flight that counts as lost, in milliseconds; twice the longest timeout of a call of the feed. */
private const val LOST_CALL_MILLISECONDS = 5_000L

/** Delay before a retry after a failed call, in milliseconds; twenty times the store's usual response time. */
private const val RETRY_DELAY_MILLISECONDS = 80L
