package org.mulberrypin.service.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.platform.deployment.FeedResult
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import strikt.api.expectThat
import strikt.assertions.isEmpty

/**
 * Guards against using a backend server that leaves some seconds after an outage of the store as if its entry had
 * lapsed in the outage, and against giving up servers whose entries did lapse in it. Plays a silent store in virtual
 * time, for outages of several lengths that begin at any phase of the feed's calls.
 */
class SilentStoreTest {
    private val leaving = StoredRow("servers", "", "leaving", "entry", version = 1)
    private val lapsing = StoredRow("servers", "", "lapsing", "entry", version = 2)

    @Test
    fun `a server that leaves once the store is stable again is used no longer than it drains`() {
        val late = forEachOutage { outage ->
            val removed = outage.last + STABLE_AFTER_MILLISECONDS
            val play = play(outage, mapOf(removed to listOf(leaving.copy(version = 3, deleted = true))))
            val lastUse = play.filter { (_, usable) -> leaving.key in usable }.maxOf { it.key }
            lastUse - removed > DRAIN_MILLISECONDS
        }
        expectThat(late).isEmpty()
    }

    @Test
    fun `a server whose entry lapsed in the outage is used until it had time to register again`() {
        val dropped = forEachOutage { outage ->
            val registered = outage.last + REGISTERED_AFTER_MILLISECONDS
            val changes = mapOf(
                outage.last - 100 to listOf(lapsing.copy(version = 3, deleted = true)),
                registered to listOf(lapsing.copy(version = 4)),
            )
            play(outage, changes).any { (_, usable) -> lapsing.key !in usable }
        }
        expectThat(dropped).isEmpty()
    }

    @Test
    fun `a server whose entry lapsed and that does not register again is given up in time`() {
        val kept = forEachOutage { outage ->
            val changes = mapOf(outage.last - 100 to listOf(lapsing.copy(version = 3, deleted = true)))
            val lastUse = play(outage, changes).filter { (_, usable) -> lapsing.key in usable }.maxOf { it.key }
            lastUse - outage.last > STABLE_AFTER_MILLISECONDS + DRAIN_MILLISECONDS
        }
        expectThat(kept).isEmpty()
    }

    @Test
    fun `a connection that goes silent while the store answers retains no entry`() {
        val removed = START_MILLISECONDS + 10
        val changes = mapOf(removed to listOf(leaving.copy(version = 3, deleted = true)))
        val play = play(START_MILLISECONDS..START_MILLISECONDS + 1, changes)
        val lastUse = play.filter { (_, usable) -> leaving.key in usable }.maxOf { it.key }
        expectThat(listOf(lastUse - removed).filter { it > FEED_WAIT_MILLISECONDS + FEED_MARGIN_MILLISECONDS + 100 })
            .isEmpty()
    }

    /** Returns the outages for which [isBroken], as ranges of milliseconds. */
    private fun forEachOutage(isBroken: (LongRange) -> Boolean): List<LongRange> =
        listOf(2_200L, 2_900L, 4_800L)
            .flatMap { length -> (0L..FEED_WAIT_MILLISECONDS step 50).map { START_MILLISECONDS + it to length } }
            .map { (start, length) -> start..start + length }
            .filter(isBroken)

    /**
     * Plays the feed in steps of 10 ms.
     *
     * @return the identifiers of the usable servers at each moment
     */
    private fun play(
        outage: LongRange,
        changes: Map<Long, List<StoredRow>>,
    ): Map<Long, Set<String>> {
        var table = FollowedTable("servers", listOf(""), FEED_WAIT_MILLISECONDS).copy(
            rows = listOf(leaving, lapsing).associateBy { it.partition to it.key },
            unreadPartitions = emptyList(),
            version = 2,
        )
        var entries = LapsedEntries().update(table.rows.values.associateBy(StoredRow::key), 0)
        var waitMilliseconds = 0L
        val usable = LinkedHashMap<Long, Set<String>>()
        for (now in 0..START_MILLISECONDS + 20_000 step 10) {
            table.nextCall(now)?.let { (sent, call) ->
                table = sent
                waitMilliseconds = (call as FollowCall.Follow).feed.waitMilliseconds
            }
            val before = table
            responseTo(table, waitMilliseconds, now, outage, changes)?.let { response ->
                table = table.applyFeed(table.callNumber, response, now)
                entries = entries.observeStore(before, table, now)
            }
            if (table.rows != before.rows || entries.hasExpired(now)) {
                entries = entries.update(table.rows.values.associateBy(StoredRow::key), now)
            }
            usable[now] = entries.usableRows().mapTo(HashSet()) { it.key }
        }
        return usable
    }

    /**
     * The store never answers calls of [outage] and calls that it held when the outage began; it applies [changes] at
     * the times that are their keys.
     */
    private fun responseTo(
        table: FollowedTable,
        waitMilliseconds: Long,
        now: Long,
        outage: LongRange,
        changes: Map<Long, List<StoredRow>>,
    ): Outcome<FeedResult>? {
        if (table.callNumber == 0L) return null
        val age = now - table.sentAtMilliseconds
        val isSilent = table.sentAtMilliseconds <= outage.last && now >= outage.first
        if (isSilent) return noAnswer.takeIf { age >= waitMilliseconds + FEED_MARGIN_MILLISECONDS }
        val known = table.version ?: 0
        val news = changes
            .filterKeys { it <= now }
            .values
            .flatten()
            .filter { it.version > known }
        return changes(news, known).takeIf { news.isNotEmpty() || age >= waitMilliseconds }
    }

    private fun changes(
        rows: List<StoredRow>,
        version: Long,
    ) = Outcome.Success(FeedResult.Changes(rows, rows.maxOfOrNull { it.version } ?: version))

    private companion object {
        private const val START_MILLISECONDS = 10_000L

        /** Bounds of the platform: how soon after an outage its store is stable, and how long a server drains. */
        private const val STABLE_AFTER_MILLISECONDS = 3_000L
        private const val DRAIN_MILLISECONDS = 2_000L
        private const val REGISTERED_AFTER_MILLISECONDS = 2_000L

        private const val FEED_WAIT_MILLISECONDS = 1_500L
        private const val FEED_MARGIN_MILLISECONDS = 600L
        private val noAnswer = Outcome.Failure(Fault("store feed", "store", FaultKind.UNKNOWN, "no answer"))
    }
}
