package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.cold.ColdClaimOutcome
import org.mulberrypin.decisions.cold.ColdLimits
import org.mulberrypin.decisions.cold.ColdServers
import org.mulberrypin.schema.generated.RequestKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

/** Load patterns: servers that return cold while work waits for them, and the loss of one of three failure domains. */
class ColdBackendsTest {
    @Test
    fun `claims a share of a cold engine that its job needs and sends no more tasks than the share allows`() {
        val fixture = coldFixture(requestsPerSecond = 2.0)
        fixture.startJob(20)
        val claim = fixture.tick().filterIsInstance<TrafficEffect.ClaimColdShare>().single()
        expectThat(claim).isEqualTo(TrafficEffect.ClaimColdShare("engine-new", 5, 8))
        expectThat(fixture.tasksAt("engine-new")).isEqualTo(0)
        fixture.decide(TrafficEvent.ColdShareAnswered("engine-new", 5, ColdClaimOutcome.Held(4, isEarlier = false)))
        repeat(20) { fixture.tick() }
        expectThat(fixture.tasksAt("engine-new")).isLessThanOrEqualTo(4).isGreaterThan(0)
        expectThat(explained).contains("backend server cold")
        repeat(40) { fixture.tick() }
        expectThat(explained).contains("backend server warm")
        expectThat(fixture.tasksAt("engine-new")).isGreaterThan(4)
    }

    @Test
    fun `sends nothing to a cold server whose shares others hold, and all as usual once it is warm`() {
        val fixture = coldFixture(requestsPerSecond = 2.0)
        fixture.startJob(20)
        fixture.tick()
        fixture.decide(TrafficEvent.ColdShareAnswered("engine-new", 5, ColdClaimOutcome.Denied))
        repeat(30) { fixture.tick() }
        expectThat(fixture.tasksAt("engine-new")).isEqualTo(0)
        expectThat(fixture.effectsOf<TrafficEffect.ClaimColdShare>()).isEmpty()
        repeat(40) { fixture.tick() }
        expectThat(fixture.tasksAt("engine-new")).isEqualTo(8)
    }

    @Test
    fun `counts requests and their retries against the share and waits or refuses beyond it`() {
        val fixture = coldFixture(requestsPerSecond = 2.0)
        val only = plainServer("plain-new").copy(startedWallMilliseconds = 9, slots = 100)
        fixture.decide(TrafficEvent.BackendsChanged(listOf(only)))
        expectThat(fixture.decide(arrival(1)).filterIsInstance<TrafficEffect.Send>()).isEmpty()
        expectThat(fixture.tick().filterIsInstance<TrafficEffect.ClaimColdShare>()).hasSize(1)
        fixture.decide(TrafficEvent.ColdShareAnswered("plain-new", 9, ColdClaimOutcome.Held(3, isEarlier = false)))
        var sends = 0
        repeat(10) { index ->
            fixture.tick()
            val sent = fixture.decide(arrival(10L + index)).filterIsInstance<TrafficEffect.Send>()
            sent.forEach { fixture.decide(response(it)) }
            sends += sent.size
        }
        expectThat(sends).isLessThanOrEqualTo(3)
        expectThat(explained).contains("cold budget spent")
    }

    @Test
    fun `a server that appears takes a growing part of its slots`() {
        val fixture = coldFixture(requestsPerSecond = 1_000.0)
        fixture.startJob(40)
        fixture.tick()
        fixture.decide(TrafficEvent.ColdShareAnswered("engine-new", 5, ColdClaimOutcome.Held(500, isEarlier = false)))
        val taken = (1..7).map {
            repeat(10) { fixture.tick() }
            fixture.tasksAt("engine-new")
        }
        expectThat(taken.take(5)).containsExactly(1, 2, 4, 5, 6)
        expectThat(taken.last()).isGreaterThan(4)
    }

    @Test
    fun `a failure domain whose evacuation is taken back takes a growing part of its slots`() {
        val fixture = fixture(engines = 1)
        fixture.decide(TrafficEvent.DomainsEvacuated(setOf("zone-a")))
        fixture.startJob(40)
        fixture.decide(TrafficEvent.DomainsEvacuated(emptySet()))
        expectThat(fixture.tasksAt("engine-1")).isEqualTo(1)
        repeat(30) { fixture.tick() }
        expectThat(fixture.tasksAt("engine-1")).isEqualTo(4)
    }

    @Test
    fun `one of three failure domains lost sends its tasks to the others within their slots and the rest waits`() {
        val domains = listOf("zone-a", "zone-b", "zone-c")
        val engines = domains.flatMap { domain -> (1..2).map { engine("$domain-$it").copy(failureDomain = domain) } }
        val fixture = fixture(engines = 0)
        fixture.decide(TrafficEvent.BackendsChanged(engines))
        val runs = fixture.startJob(40)
        expectThat(runs).hasSize(40)
        fixture.decide(TrafficEvent.BackendsChanged(engines.filter { it.failureDomain != "zone-a" }))
        runs.filter { it.server.startsWith("zone-a") }.forEach {
            fixture.decide(TrafficEvent.TaskAttemptFailed(it.job, it.task.id, it.attempt, true, "closed"))
        }
        repeat(5) { fixture.tick() }
        val inFlight = fixture.state.backends.values
            .map { it.inFlight }
        expectThat(inFlight).containsExactly(8, 8, 8, 8)
    }

    private val explained = HashSet<String>()

    private fun TrafficFixture.tick(): List<TrafficEffect> {
        nowMilliseconds += 50
        val effects = decide(TrafficEvent.Tick)
        explained += effects.filterIsInstance<TrafficEffect.RecordDecision>().map { it.decision }
        return effects
    }
}

private fun coldFixture(requestsPerSecond: Double): TrafficFixture {
    val fixture = TrafficFixture(TrafficState(identity, coldServers = ColdServers(ColdLimits(1.5, 5.0))))
    val configuration = configuration(RequestKind.IDEMPOTENT)
    val pools = configuration.pools.map { it.copy(coldRequestsPerSecond = requestsPerSecond, coldMilliseconds = 2_000) }
    fixture.nowMilliseconds = 20_000
    fixture.decide(TrafficEvent.ConfigurationChanged(configuration.copy(pools = pools)))
    val old = listOf(plainServer("plain-1"), engine("engine-1"))
    fixture.decide(TrafficEvent.BackendsChanged(old))
    fixture.decide(TrafficEvent.LiveInstancesRead(listOf(LiveInstance(identity.name, identity.incarnation))))
    fixture.decide(TrafficEvent.Tick)
    fixture.decide(TrafficEvent.BackendsChanged(old + engine("engine-new").copy(startedWallMilliseconds = 5)))
    return fixture
}

private fun TrafficFixture.tasksAt(server: String): Int = state.backends[server]?.inFlight ?: 0
