package org.mulberrypin.decisions.ordering

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Load: a step of several groups whose texts are more than the slots, as trainers of several models hand them in. */
class OrderTasksTest {
    private val outlook =
        JobOutlook(wantedGroups = 4, timeLeftMilliseconds = 5_000, eventMilliseconds = 50.0, slots = 100)

    private val crowded = outlook.copy(slots = 1)

    @Test
    fun `texts that can all be complete in time start longest first`() {
        val members = group("a", 10, 8) + group("b", 70) + group("c", 12) + group("d", 4)
        expectThat(order(members, outlook)).containsExactly("b-70", "c-12", "a-10", "a-8", "d-4")
    }

    @Test
    fun `of too many texts those of returned groups come first, then those of the group with the least left`() {
        val members = group("a", 60, 70) + group("b", 5, 8) + group("c", 30, 10) + group("d", 4, 20)
        val expected = listOf("a-70", "a-60", "b-8", "b-5", "d-20", "d-4", "c-30", "c-10")
        expectThat(order(members, crowded)).isEqualTo(expected)
        expectThat(order(members, outlook.copy(timeLeftMilliseconds = null))).isEqualTo(expected)
        expectThat(order(members, outlook.copy(eventMilliseconds = null))).isEqualTo(expected)
    }

    @Test
    fun `a group that cannot be whole in time, even if its texts turn out shorter, starts after those that can`() {
        val members = group("a", 450) + group("b", 10) + group("c", 90) + group("d", 410) + group("e", 110)
        expectThat(order(members, crowded)).containsExactly("b-10", "c-90", "e-110", "a-450", "d-410")
    }

    @Test
    fun `a text that would be late after the others starts before nearer groups`() {
        val members = group("a", 10, 8) + group("b", 70) + group("c", 12)
        val twoSlots = outlook.copy(wantedGroups = 3, slots = 2)
        expectThat(order(members, twoSlots)).containsExactly("a-10", "a-8", "b-70", "c-12")
    }

    @Test
    fun `groups beyond the wanted number start last, and the one that cannot be in time is left out first`() {
        val members = group("a", 10) + group("b", 20) + group("c", 30) + group("d", 450) + group("e", 40)
        val order = orderTasks(members, outlook)
        expectThat(order.standings["d"]).isEqualTo(GroupStanding.SPARE)
        expectThat(order.tasks.last().task).isEqualTo("d-450")
    }

    @Test
    fun `no other group counts once the wanted number has all texts`() {
        val whole = listOf("a", "b", "c", "d").flatMap { group(it, 0, 0) }
        val before = orderTasks(whole.drop(1) + member("a", 3) + group("e", 9), outlook)
        expectThat(before.standings["e"]).isEqualTo(GroupStanding.SPARE)
        val after = orderTasks(whole + group("e", 9), outlook)
        expectThat(after.standings["e"]).isEqualTo(GroupStanding.YIELDS)
        expectThat(after.standings["a"]).isEqualTo(GroupStanding.COUNTS)
    }

    @Test
    fun `all groups count if the wanted number is none, negative or beyond what there is`() {
        val members = group("a", 10) + group("b", 20)
        listOf(0, -3, 1_000_000).forEach { wanted ->
            val standings = orderTasks(members, outlook.copy(wantedGroups = wanted)).standings
            expectThat(standings.values.toSet()).containsExactly(GroupStanding.COUNTS)
        }
        expectThat(orderTasks(emptyList(), outlook).tasks.firstOrNull()).isNull()
    }

    private fun order(
        members: List<GroupMember>,
        outlook: JobOutlook,
    ): List<String> = orderTasks(members, outlook).tasks.map { it.task }

    private fun group(
        name: String,
        vararg remaining: Long,
    ) = remaining.map { member(name, it) }

    private fun member(
        name: String,
        remaining: Long,
    ) = GroupMember("$name-$remaining", name, remaining, isWaiting = remaining > 0)
}
