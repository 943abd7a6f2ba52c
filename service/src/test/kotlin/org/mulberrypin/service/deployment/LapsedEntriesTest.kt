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
    fun `forgets an entry at once while the store is well`() {
        val gone = LapsedEntries().observe(listed, 10_000).observe(emptyMap(), 10_100)
        expectThat(gone.present()).isEmpty()
    }

    @Test
    fun `keeps an entry that vanished around an outage until it could have come back`() {
        val known = LapsedEntries().observe(listed, 10_000).copy(troubledMilliseconds = 11_000)
        val lapsed = known.observe(emptyMap(), 11_500)
        expectThat(lapsed.present()).containsExactly(row)
        expectThat(lapsed.hasLapsed(13_700)).isFalse()
        expectThat(lapsed.hasLapsed(13_900)).isTrue()
        expectThat(lapsed.observe(emptyMap(), 13_900).present()).isEmpty()
    }

    @Test
    fun `goes by the list again when the entry is back`() {
        val known = LapsedEntries().observe(listed, 10_000).copy(troubledMilliseconds = 11_000)
        val back = known.observe(emptyMap(), 11_500).observe(listed, 12_000)
        expectThat(back.present()).containsExactly(row)
        expectThat(back.observe(emptyMap(), 14_500).present()).isEmpty()
    }
}
