/**
 * Decides how an instance follows one table of the store: it reads the table once, then asks a feed for changes. When
 * the feed has lost its history, the table is read again.
 */
package org.mulberrypin.service.deployment

import org.mulberrypin.platform.deployment.FeedAnswer
import org.mulberrypin.platform.deployment.FeedQuestion
import org.mulberrypin.platform.deployment.NEXT_CHARACTER
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.runtime.Outcome

/**
 * A table that is followed.
 *
 * @property partitions partitions that are read at first
 * @property unread partitions that are still to be read
 * @property version version up to which changes are known; null while the table is being read
 * @property question number of the call under way, by which late answers are told apart; 0 when there is none
 * @property failures failed calls in a row
 */
internal data class FollowedTable(
    val table: String,
    val partitions: List<String>,
    val rows: Map<Pair<String, String>, StoredRow> = emptyMap(),
    val unread: List<String> = partitions,
    val fromKey: String = "",
    val firstVersion: Long? = null,
    val version: Long? = null,
    val question: Long = 0,
    val questions: Long = 0,
    val failures: Int = 0,
    val pausedUntilMilliseconds: Long = 0,
)

/** What a followed table asks the store. */
internal sealed interface FollowCall {
    data class Read(
        val question: Long,
        val range: RowRange,
    ) : FollowCall

    data class Follow(
        val question: Long,
        val feed: FeedQuestion,
    ) : FollowCall
}

/** The next call, when none is under way. */
internal fun FollowedTable.nextCall(nowMilliseconds: Long): Pair<FollowedTable, FollowCall>? {
    if (question != 0L || nowMilliseconds < pausedUntilMilliseconds) return null
    val number = questions + 1
    val asking = copy(question = number, questions = number)
    val known = version
    val call = if (known == null) {
        FollowCall.Read(number, RowRange(table, unread.first(), fromKey))
    } else {
        FollowCall.Follow(number, FeedQuestion(table, known, FEED_WAIT_MILLISECONDS))
    }
    return asking to call
}

/** Takes a page of the first reading. */
internal fun FollowedTable.acceptPage(
    number: Long,
    outcome: Outcome<RowPage>,
    nowMilliseconds: Long,
): FollowedTable {
    if (number != question) return this
    if (outcome !is Outcome.Success) return failed(nowMilliseconds)
    val page = outcome.value
    val read = rows + page.rows.associateBy { it.partition to it.key }
    val first = firstVersion ?: page.version
    val next = copy(rows = read, firstVersion = first, question = 0, failures = 0)
    return when {
        page.more && page.rows.isNotEmpty() -> next.copy(fromKey = page.rows.last().key + NEXT_CHARACTER)
        unread.size > 1 -> next.copy(unread = unread.drop(1), fromKey = "")
        else -> next.copy(unread = emptyList(), fromKey = "", version = first)
    }
}

/** Takes the answer of the feed. */
internal fun FollowedTable.acceptFeed(
    number: Long,
    outcome: Outcome<FeedAnswer>,
    nowMilliseconds: Long,
): FollowedTable {
    if (number != question) return this
    return when (outcome) {
        is Outcome.Failure -> failed(nowMilliseconds)

        is Outcome.Success -> when (val answer = outcome.value) {
            is FeedAnswer.HistoryGone -> copy(
                rows = emptyMap(),
                unread = partitions,
                firstVersion = null,
                version = null,
                question = 0,
            )

            is FeedAnswer.Changes -> changed(answer)
        }
    }
}

private fun FollowedTable.changed(answer: FeedAnswer.Changes): FollowedTable {
    var next = rows
    for (row in answer.rows) {
        val key = row.partition to row.key
        val isOld = (next[key]?.version ?: 0) >= row.version && !row.deleted
        next = when {
            row.deleted -> next - key
            isOld -> next
            else -> next + (key to row)
        }
    }
    return copy(rows = next, version = maxOf(version ?: 0, answer.version), question = 0, failures = 0)
}

private fun FollowedTable.failed(nowMilliseconds: Long): FollowedTable =
    copy(question = 0, failures = failures + 1, pausedUntilMilliseconds = nowMilliseconds + FAILURE_PAUSE_MILLISECONDS)

/** Time that a feed waits for a change, in milliseconds; a silent connection is noticed soon after it. */
private const val FEED_WAIT_MILLISECONDS = 1_000L

/** Pause after a failed call, in milliseconds; twenty times the store's usual answer. */
private const val FAILURE_PAUSE_MILLISECONDS = 80L
