package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.work.LoadReport
import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.ServingTeam
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNull

/** Load: bursts of callers at a plain pool whose servers report long queues, or of which half are lost at once. */
class RefuseRequestsTest {
    private var lastRequest = 0L

    @Test
    fun `a request that no server can run in time is refused at once, as not run`() {
        val fixture = busyFixture(servers = 3, load = 200)
        val rejected = fixture.refused("a")
        expectThat(rejected.status).isEqualTo(503)
        expectThat(rejected.retryMilliseconds ?: 0).isIn(1L..266L)
        expectThat(fixture.state.requests.values).isEmpty()
        expectThat(fixture.effectsOf<TrafficEffect.CountLoadDecision>().map { it.decision })
            .containsExactly(LoadDecision.REFUSED_AT_ONCE)
    }

    @Test
    fun `a request is sent while a server has room, or has said nothing of late, or its queue is short enough`() {
        val withRoom = busyFixture(servers = 3, load = 200)
        withRoom.report("plain-1", load = 2)
        expectThat(withRoom.arrive("a")).hasSize(1)
        val unheard = busyFixture(servers = 3, load = 200)
        unheard.nowMilliseconds += 400
        expectThat(unheard.arrive("a")).hasSize(1)
        expectThat(busyFixture(servers = 3, load = 20).arrive("a")).hasSize(1)
    }

    @Test
    fun `a request that servers run before others is not judged by their queue`() {
        val fixture = busyFixture(servers = 3, load = 200)
        val teams = listOf(ServingTeam(TEAM, listOf(KEY), priority = 0), ServingTeam("other", priority = 4))
        fixture.decide(TrafficEvent.ConfigurationChanged(configuration(RequestKind.IDEMPOTENT).copy(teams = teams)))
        expectThat(fixture.arrive("a")).hasSize(1)
    }

    @Test
    fun `a refused attempt is not repeated at servers that are known to be busy for too long`() {
        val fixture = busyFixture(servers = 3, load = 200)
        fixture.report("plain-1", load = 0)
        val send = fixture.arrive("a").single()
        fixture.report("plain-1", load = 200)
        fixture.decide(response(send, status = 503, notRun = true))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).isEmpty()
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(503)
        expectThat(fixture.state.queues.refusedCallers.keys).containsExactly("a")
    }

    @Test
    fun `a request that is held since servers crashed under it gets no place among returning callers`() {
        val fixture = fixture(plainServers = 0, engines = 0)
        fixture.arrive("a")
        fixture.state = fixture.state.copy(suspects = fixture.state.suspects.put("a", CrashSuspect(3, 1_000)))
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().retryMilliseconds).isEqualTo(30_000)
        expectThat(fixture.state.queues.refusedCallers.keys).isEmpty()
    }

    @Test
    fun `callers are told to come back one after the other and not together`() {
        val fixture = busyFixture(servers = 3, load = 200, runMilliseconds = 40)
        val delays = (1..12).map { fixture.refused("caller-$it").retryMilliseconds ?: 0 }
        expectThat(delays.toSet().size).isGreaterThan(8)
        expectThat(delays.max()).isLessThan(267)
    }

    @Test
    fun `when a pool halves within a second the next caller is told to wait longer`() {
        val whole = pressedFixture(servers = 4)
        val half = pressedFixture(servers = 4)
        half.decide(TrafficEvent.BackendsChanged(listOf(plainServer("plain-1"), plainServer("plain-2"))))
        val request = half.state.requests.values
            .first()
        val (wholeRate, halfRate) = listOf(whole, half).map { it.state.drainRate(request, it.nowMilliseconds) }
        expectThat(halfRate).isEqualTo(wholeRate / 2)
        val (wholeDelay, halfDelay) = listOf(whole, half).map { fixture ->
            repeat(6) { fixture.state = fixture.state.withRefusedCaller(request.copy(content = "c$it"), 900, 1_000) }
            fixture.state.retryAfterMilliseconds(request.copy(deadlineMilliseconds = 9_000), fixture.nowMilliseconds)
        }
        expectThat(halfDelay ?: 0).isGreaterThan(wholeDelay ?: 0)
    }

    @Test
    fun `a pool without any server to expect refuses at once, an unread list waits as before`() {
        val fixture = fixture(plainServers = 0)
        fixture.decide(arrival(1))
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().retryMilliseconds).isEqualTo(266)
        val unread = fixture(plainServers = 0, engines = 0)
        unread.decide(arrival(1))
        expectThat(unread.effectsOf<TrafficEffect.Reject>()).isEmpty()
    }

    @Test
    fun `with idle servers a refusal keeps its usual delay`() {
        val fixture = fixture(plainServers = 1)
        fixture.decide(arrival(1))
        val send = fixture.singleEffect<TrafficEffect.Send>()
        fixture.decide(TrafficEvent.AttemptFailed(1, send.attempt, sent = false, detail = "refused connection"))
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().retryMilliseconds).isNull()
    }

    @Test
    fun `waiting requests are sent by rank, then returning callers, then small teams before large ones`() {
        val fixture = fixture(plainServers = 0, engines = 0)
        val teams = listOf("large", "small", "urgent").map {
            ServingTeam(it, listOf("key-$it"), priority = if (it == "urgent") 0 else 3)
        }
        fixture.decide(TrafficEvent.ConfigurationChanged(configuration(RequestKind.IDEMPOTENT).copy(teams = teams)))
        fixture.state = fixture.state.withQueues { queues ->
            queues.copy(refusedCallers = queues.refusedCallers.put("back", RefusedCaller("plain", 1_000, 1_050)))
        }
        val keys = listOf("large", "large", "large", "small", "urgent")
        keys.forEachIndexed { index, team -> fixture.arrive("content-$index", "key-$team") }
        fixture.arrive("back", "key-large")
        fixture.decide(TrafficEvent.BackendsChanged(listOf(plainServer("plain-1"))))
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.Send>().map { it.request }).containsExactly(5, 6, 1, 4, 2, 3)
    }

    private fun TrafficFixture.arrive(
        content: String,
        key: String = KEY,
    ): List<TrafficEffect.Send> {
        lastRequest += 1
        decide(arrival(lastRequest, key = key).copy(content = content))
        return effectsOf()
    }

    private fun TrafficFixture.refused(content: String): TrafficEffect.Reject {
        arrive(content)
        return singleEffect()
    }

    private fun TrafficFixture.report(
        server: String,
        load: Int,
    ) {
        val reporting = state.backends.updated(server) {
            it.withLoad(LoadReport(running = load, waiting = 0, slots = it.entry.slots), nowMilliseconds)
        }
        state = state.copy(backends = reporting)
    }

    /** A pool of which run times are known and every server reports [load]. */
    private fun busyFixture(
        servers: Int,
        load: Int,
        runMilliseconds: Long = 30,
    ): TrafficFixture {
        val fixture = fixture(plainServers = servers)
        repeat(10) {
            val send = fixture.arrive("").single()
            fixture.nowMilliseconds += runMilliseconds
            fixture.decide(response(send))
        }
        (1..servers).forEach { fixture.report("plain-$it", load) }
        return fixture
    }

    /** A pool one of whose servers refused a request, which waits at the next one. */
    private fun pressedFixture(servers: Int): TrafficFixture {
        val fixture = busyFixture(servers, load = 0)
        fixture.decide(response(fixture.arrive("a").single(), status = 503, notRun = true))
        return fixture
    }
}
