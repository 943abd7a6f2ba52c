package org.mulberrypin.service.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.cold.ColdClaimOutcome
import org.mulberrypin.decisions.traffic.TrafficEffect
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.RowWrite
import org.mulberrypin.runtime.systemClock
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.single

/** Load pattern: several instances claim the shares of one cold server at the same time. */
class ColdShareClaimsTest {
    private val store = ScriptedStore()
    private val log = startDecisionLog("entry-1", systemClock())
    private val outcomes = HashMap<String, ArrayList<ColdClaimOutcome>>()
    private val effect = TrafficEffect.ClaimColdShare("engine-1", 5, budget = 29)

    @Test
    fun `of five instances that claim at once two hold half of the budget and the others none`() {
        (1..5).forEach { claim("entry-$it") }
        while (store.pending.isNotEmpty()) store.pending.removeFirst().succeed()
        val all = outcomes.values.flatten()
        expectThat(all.size).isEqualTo(5)
        val held = all.filterIsInstance<ColdClaimOutcome.Held>()
        expectThat(held.size).isEqualTo(2)
        expectThat(held).all { isEqualTo(ColdClaimOutcome.Held(14, isEarlier = false)) }
        expectThat(all.count { it == ColdClaimOutcome.Denied }).isEqualTo(3)
    }

    @Test
    fun `a claim whose answer was lost finds itself entered as an earlier one`() {
        claim("entry-1")
        store.pending.removeFirst().loseResponse()
        expectThat(outcomes.getValue("entry-1")).single().isA<ColdClaimOutcome.Unknown>()
        claim("entry-1")
        store.pending.removeFirst().succeed()
        expectThat(outcomes.getValue("entry-1").last()).isA<ColdClaimOutcome.Held>().get { isEarlier }.isTrue()
    }

    @Test
    fun `a row of another writer gives no share`() {
        val odd =
            RowTransaction(writes = listOf(RowWrite(StoreTables.COLD_SHARES, "", "engine-1/5", "[".repeat(50_000))))
        store.store.transact(odd) { }
        store.pending.removeFirst().succeed()
        claim("entry-1")
        store.pending.removeFirst().succeed()
        expectThat(outcomes.getValue("entry-1")).containsExactly(ColdClaimOutcome.Denied)
    }

    private fun claim(instance: String) =
        ColdShareClaims(instance, store.store, log) { _, outcome ->
            outcomes.getOrPut(instance, ::ArrayList) += outcome
        }.claim(effect)
}
