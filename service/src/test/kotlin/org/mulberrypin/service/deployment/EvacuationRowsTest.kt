package org.mulberrypin.service.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.platform.deployment.FeedResult
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.systemClock
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/** Guards against forgetting an evacuation, and against rows of other writers among the operator's. */
class EvacuationRowsTest {
    @Test
    fun `an unreadable value still evacuates, a key without a name does not`() {
        val deep = "[".repeat(100_000)
        val rows =
            listOf(row("evacuate/zone-b", deep), row("evacuate/", "{}"), row("evacuate/ \u0000", "{}"), row("config"))
        val read = EvacuationRows().read(rows)
        expectThat(read.domains).isEqualTo(setOf("zone-b"))
        expectThat(read.newlyUnreadable.map { it.key }).containsExactly("evacuate/", "evacuate/ \u0000")
        expectThat(read.read(rows).newlyUnreadable).isEmpty()
    }

    @Test
    fun `a deletion that is older than the row of the scan removes nothing`() {
        val scanned = FollowedTable(
            "op",
            listOf(""),
            feedWaitMilliseconds = 1_000,
        ).nextCall(0)?.first?.applyPage(1, page(row("evacuate/a", "{}", 18)), 1)
        val following = checkNotNull(scanned?.nextCall(2)?.first)
        val older = StoredRow("op", "", "evacuate/a", "", 15, deleted = true)
        val kept = following.applyFeed(2, Outcome.Success(FeedResult.Changes(listOf(older), 15)), 3)
        expectThat(kept.rows.values.map { it.key }).containsExactly("evacuate/a")
        val newer = kept.nextCall(4)?.first?.applyFeed(
            3,
            Outcome.Success(FeedResult.Changes(listOf(older.copy(version = 19)), 19)),
            5,
        )
        expectThat(newer?.rows.orEmpty().values).isEmpty()
    }

    @Test
    fun `evacuations are known before the configuration and stay while lost history is read again in pages`() {
        val published = ArrayBlockingQueue<String>(100)
        val pages = ArrayDeque(
            listOf(
                page(row("config", CONFIGURATION), row("evacuate/zone-b")),
                page(row("config", CONFIGURATION), hasMore = true),
                page(row("evacuate/zone-b"), row("evacuate/zone-c")),
            ),
        )
        var polls = 0
        val store = RowStore(
            transact = { _, _ -> },
            readRows = { range, callback -> if (range.table == "op") callback(pages.removeFirst()) },
            pollFeed = { _, callback -> if (polls++ == 0) callback(Outcome.Success(FeedResult.HistoryUnavailable)) },
            putObject = { _, _, _ -> },
            readObject = { _, _ -> },
            deleteObject = { _, _ -> },
        )
        val outlets = FollowOutlets(
            onEvacuations = { published.add("evacuated ${it.sorted()}") },
            onConfiguration = { published.add("configuration") },
            onWeights = { },
            onBackends = { },
            onJobs = { },
        )
        val clock = systemClock()
        val follow = FollowDuty(
            store,
            outlets,
            FEED_WAIT_MILLISECONDS,
            clock,
            startDecisionLog("entry-1", clock),
        ).start()
        val seen = (1..4).map { published.poll(WAIT_SECONDS, TimeUnit.SECONDS) }
        follow.stop()
        val both = "evacuated [zone-b, zone-c]"
        expectThat(seen).containsExactly("evacuated [zone-b]", "configuration", both, both)
    }

    private fun page(
        vararg rows: StoredRow,
        hasMore: Boolean = false,
    ) = Outcome.Success(RowPage(rows.toList(), hasMore, version = 1))

    private fun row(
        key: String,
        value: String = "{}",
        version: Long = 1,
    ) = StoredRow("op", "", key, value, version)

    private companion object {
        private const val CONFIGURATION = """{"version":1,"routes":[],"services":[]}"""
        private const val FEED_WAIT_MILLISECONDS = 1_000L
        private const val WAIT_SECONDS = 5L
    }
}
