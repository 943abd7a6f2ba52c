package org.mulberrypin.service.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.platform.deployment.StoredRow
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class LapsedEntriesTest {
    private val row = StoredRow("servers", "", "server-1", "entry", version = 1)
    private val listed = mapOf(row.key to row)

    @Test
    fun `a removed entry is dropped at once when the store has not failed recently`() {
        val removed = LapsedEntries().update(listed, 10_000).update(emptyMap(), 10_100)
        expectThat(removed.usableRows()).isEmpty()
    }

    @Test
    fun `an entry that disappears around an outage stays usable until the registration deadline`() {
        val lapsed = afterOutage(returnedMilliseconds = 11_500).update(emptyMap(), 11_600)
        expectThat(lapsed.usableRows()).containsExactly(row)
        expectThat(lapsed.hasExpired(13_700)).isFalse()
        expectThat(lapsed.hasExpired(13_900)).isTrue()
        expectThat(lapsed.update(emptyMap(), 13_900).usableRows()).isEmpty()
    }

    @Test
    fun `a later disappearance does not extend the registration deadline`() {
        val lapsed = afterOutage(returnedMilliseconds = 11_500).update(emptyMap(), 13_700)
        expectThat(lapsed.usableRows()).containsExactly(row)
        expectThat(lapsed.hasExpired(13_900)).isTrue()
    }

    @Test
    fun `a single failed call is no outage`() {
        val entries = LapsedEntries().update(listed, 10_000).observeStore(table(1), table(0), 11_500)
        expectThat(entries.update(emptyMap(), 11_600).usableRows()).isEmpty()
    }

    @Test
    fun `an entry that registers again follows the listed entries from then on`() {
        val reregistered = afterOutage(11_500).update(emptyMap(), 11_600).update(listed, 12_000)
        expectThat(reregistered.usableRows()).containsExactly(row)
        expectThat(reregistered.update(emptyMap(), 14_500).usableRows()).isEmpty()
    }

    private fun afterOutage(returnedMilliseconds: Long): LapsedEntries =
        LapsedEntries().update(listed, 10_000).observeStore(table(2), table(0), returnedMilliseconds)

    private fun table(failures: Int) = FollowedTable("servers", listOf(""), 1_500, failures = failures)
}
