package org.mulberrypin.service.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.platform.deployment.StoredRow
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

/** Entries of the registry that cannot be read: the others hold, and each is reported once. */
class ListedServersTest {
    @Test
    fun `an odd entry among those of the engines leaves the others as they are`() {
        val listed = ListedServers().read(listOf(entry("i-1"), odd("i-2", 1), entry("i-3")))
        expectThat(listed.servers.map { it.id }).containsExactly("i-1", "i-3")
        expectThat(listed.newlyUnreadable.map { it.key }).containsExactly("i-2")
    }

    @Test
    fun `an entry that stays unreadable is reported once`() {
        val listed = ListedServers().read(listOf(odd("i-2", 1)))
        expectThat(listed.read(listOf(odd("i-2", 2))).newlyUnreadable).isEmpty()
    }

    @Test
    fun `an entry that was readable in between is reported again`() {
        val listed = ListedServers().read(listOf(odd("i-2", 1))).read(listOf(entry("i-2")))
        expectThat(listed.read(listOf(odd("i-2", 3))).newlyUnreadable.map { it.key }).containsExactly("i-2")
    }

    private fun entry(id: String) = row(
        id,
        1,
        """{"service":"p","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}""",
    )

    private fun odd(
        id: String,
        version: Long,
    ) = row(id, version, "[".repeat(20_000))

    private fun row(
        id: String,
        version: Long,
        value: String,
    ) = StoredRow("servers", "", id, value, version)
}
