package org.mulberrypin.decisions.membership

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.InstanceEntry
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
@DisplayName("Membership")
class DecideMembershipTest {
    private fun entries(
        count: Int,
        domains: Int,
    ) = List(count) {
        InstanceEntry(name = "instance-$it", failureDomain = "domain-${it % domains}", incarnation = 1)
    }

    private fun MembershipState.after(vararg events: MembershipEvent): MembershipState =
        events.fold(this) { state, event -> decideMembership(state, event, 0).state }

    private fun failures(name: String) = Array(SUSPICION_THRESHOLD) { MembershipEvent.PeerFailed(name) }

    private fun started(
        count: Int,
        domains: Int,
    ) = MembershipState("instance-0").after(
        MembershipEvent.Started(entries(count, domains)[0]),
        MembershipEvent.ListRead(entries(count, domains)),
    )

    @Test
    fun `treats a failure domain as unreachable when all its probed peers are suspected, until one responds`() {
        val before = started(count = 650, domains = 13)
        val probed = before.entries.filter { it.failureDomain == "domain-3" && it.name in before.probes }
        val unreachable = before.after(*probed.flatMap { failures(it.name).toList() }.toTypedArray())
        expectThat(before.live.size - unreachable.live.size).isEqualTo(50)
        val recovered = unreachable.after(MembershipEvent.PeerResponded(probed[0].name, incarnation = 1))
        expectThat(recovered.live.size).isEqualTo(650 - 1)
    }

    @Test
    fun `resets failures for a new incarnation and ignores an outdated list`() {
        val suspected = started(count = 3, domains = 3).after(*failures("instance-1"))
        val replaced = entries(3, 3).map { if (it.name == "instance-1") it.copy(incarnation = 2) else it }
        val next = suspected.after(MembershipEvent.ListRead(replaced), MembershipEvent.ListRead(entries(3, 3)))
        expectThat(next.live).contains(replaced[1])
    }

    @Test
    fun `registers again until the list contains the current entry of this instance`() {
        val self = entries(1, 1)[0]
        val leaving = MembershipState(self.name).after(MembershipEvent.Started(self), MembershipEvent.Leaving)
        val effects = decideMembership(leaving, MembershipEvent.ListRead(listOf(self)), 60_000).effects
        expectThat(effects).contains(MembershipEffect.Register(self.copy(leaving = true)))
    }

    @Test
    fun `chooses a bounded number of peers and changes at most one when an instance is removed`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 592, iterations = 30), Arb.long()) { seed ->
                val all = entries(650, 13)
                val removed = all[1 + Random(seed).nextInt(649)]
                val before = choosePeers("instance-0", all).map { it.name }.toSet()
                val after = choosePeers("instance-0", all - removed).map { it.name }.toSet()
                expectThat(before.size).isLessThanOrEqualTo(MAX_PROBED_PEERS)
                expectThat(after.filter { it !in before }.size).isLessThanOrEqualTo(1)
            }
        }
    }

    @Test
    fun `keeps a partitioned region in the list and among the probed peers`() {
        val before = started(count = 12, domains = 3)
        val partitioned = before.after(*(1..8).flatMap { failures("instance-$it").toList() }.toTypedArray())
        expectThat(partitioned.entries).isEqualTo(before.entries)
        expectThat(partitioned.probes.keys).containsExactlyInAnyOrder(before.probes.keys)
    }
}
