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
        val beforeOutage = LapsedEntries().update(listed, 10_000).copy(lastStoreFailureMilliseconds = 11_000)
        val lapsed = beforeOutage.update(emptyMap(), 11_500)
        expectThat(lapsed.usableRows()).containsExactly(row)
        expectThat(lapsed.hasExpired(13_700)).isFalse()
        expectThat(lapsed.hasExpired(13_900)).isTrue()
        expectThat(lapsed.update(emptyMap(), 13_900).usableRows()).isEmpty()
    }

    @Test
    fun `an entry that registers again follows the listed entries from then on`() {
        val beforeOutage = LapsedEntries().update(listed, 10_000).copy(lastStoreFailureMilliseconds = 11_000)
        val reregistered = beforeOutage.update(emptyMap(), 11_500).update(listed, 12_000)
        expectThat(reregistered.usableRows()).containsExactly(row)
        expectThat(reregistered.update(emptyMap(), 14_500).usableRows()).isEmpty()
    }
}
