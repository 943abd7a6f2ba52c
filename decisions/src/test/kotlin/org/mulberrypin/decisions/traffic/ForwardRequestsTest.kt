package org.mulberrypin.decisions.traffic

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.RequestKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo

class ForwardRequestsTest {
    @Test
    fun `refuses as not run while no configuration is known`() {
        val world = TrafficWorld()
        world.tell(arrival(1))
        expectThat(world.single<TrafficEffect.Refuse>().status).isEqualTo(503)
    }

    @Test
    fun `refuses a request without a route and one with an unknown key`() {
        val world = world()
        world.tell(arrival(1, path = "/nowhere/1"))
        expectThat(world.single<TrafficEffect.Refuse>().status).isEqualTo(404)
        world.tell(arrival(2, key = "other"))
        expectThat(world.single<TrafficEffect.Refuse>().status).isEqualTo(401)
    }

    @Test
    fun `takes the longest prefix of the host`() {
        val table = routingTableOf(configuration(RequestKind.IDEMPOTENT))
        expectThat(table.findRoute(HOST, "/orders/1?x=/sort/")?.name).isEqualTo("orders")
        expectThat(table.findRoute("other.example", "/orders/1")).isEqualTo(null)
    }

    @Test
    fun `sends a repeatable request to another backend server after a break`() {
        val world = world()
        world.tell(arrival(1))
        val first = world.single<TrafficEffect.Send>()
        world.tell(TrafficEvent.Broke(1, first.attempt, sent = true, detail = "closed"))
        val second = world.single<TrafficEffect.Send>()
        expectThat(second.server).isNotEqualTo(first.server)
    }

    @Test
    fun `does not repeat a request that may have run and must run once`() {
        val world = world(RequestKind.NON_IDEMPOTENT)
        world.tell(arrival(1))
        world.tell(TrafficEvent.Broke(1, world.single<TrafficEffect.Send>().attempt, sent = true, detail = "closed"))
        expectThat(world.all<TrafficEffect.Send>()).isEmpty()
        expectThat(world.single<TrafficEffect.Refuse>().status).isEqualTo(502)
    }

    @Test
    fun `repeats a request that must run once when it was certainly not run`() {
        val world = world(RequestKind.NON_IDEMPOTENT)
        world.tell(arrival(1))
        world.tell(answer(world.single(), status = 503, notRun = true))
        expectThat(world.all<TrafficEffect.Send>()).hasSize(1)
    }

    @Test
    fun `never relays a success without a signature`() {
        val world = world(RequestKind.NON_IDEMPOTENT)
        world.tell(arrival(1))
        world.tell(answer(world.single(), signed = false))
        expectThat(world.all<TrafficEffect.Relay>()).isEmpty()
        expectThat(world.single<TrafficEffect.Refuse>().status).isEqualTo(502)
    }

    @Test
    fun `counts usage once when two attempts ran`() {
        val world = world()
        world.tell(arrival(1))
        world.tell(answer(world.single(), status = 500))
        val counted = world.all<TrafficEffect.CountUsage>().size
        world.tell(answer(world.single()))
        expectThat(counted + world.all<TrafficEffect.CountUsage>().size).isEqualTo(1)
    }

    @Test
    fun `counts usage once when the first attempt broke off and the second was answered`() {
        val world = world()
        world.tell(arrival(1))
        world.tell(TrafficEvent.Broke(1, world.single<TrafficEffect.Send>().attempt, sent = true, detail = "closed"))
        world.tell(answer(world.single()))
        expectThat(world.all<TrafficEffect.CountUsage>()).hasSize(1)
    }

    @Test
    fun `gives the final answer at the route's timeout`() {
        val world = world(RequestKind.NON_IDEMPOTENT)
        world.tell(arrival(1))
        world.now += 800
        world.tell(TrafficEvent.Ticked)
        expectThat(world.single<TrafficEffect.Refuse>().status).isEqualTo(504)
        expectThat(world.all<TrafficEffect.Cancel>()).hasSize(1)
    }

    @Test
    fun `closes the connection to the backend server when the caller leaves`() {
        val world = world()
        world.tell(arrival(1))
        world.tell(TrafficEvent.CallerLeft(1))
        expectThat(world.all<TrafficEffect.Cancel>()).hasSize(1)
        expectThat(
            world.state.backends.values
                .sumOf { it.inFlight },
        ).isEqualTo(0)
    }

    @Test
    fun `sends nothing to a backend server that is leaving`() {
        val world = world(plainServers = 1)
        world.tell(TrafficEvent.BackendsChanged(listOf(plainServer("plain-1").copy(leaving = true))))
        world.tell(arrival(1))
        expectThat(world.all<TrafficEffect.Send>()).isEmpty()
    }

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `whatever happens, a request is answered once, within its attempts, and a refusal as not run is true`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 42, iterations = 500), Arb.list(Arb.int(0..5), 1..12)) { script ->
                val world = world(RequestKind.NON_IDEMPOTENT)
                val history = RequestHistoryCheck()
                history.note(world.tell(arrival(1)))
                script.forEach { step -> history.note(world.play(step, history)) }
                world.now += 2_000
                history.note(world.tell(TrafficEvent.Ticked))
                expectThat(history.answers).isEqualTo(1)
                expectThat(history.runs).isLessThanOrEqualTo(1)
                if (history.status == 503) expectThat(history.runs).isEqualTo(0)
            }
        }
    }
}

private class RequestHistoryCheck {
    var answers = 0
    var runs = 0
    var status = 0
    var open: TrafficEffect.Send? = null

    fun note(effects: List<TrafficEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is TrafficEffect.Send -> open = effect
                is TrafficEffect.Relay -> answers++
                is TrafficEffect.Refuse -> answers++.also { status = effect.status }
                else -> Unit
            }
        }
    }
}

/** Plays one step of a script against the open attempt; a break may or may not have run. */
private fun TrafficWorld.play(
    step: Int,
    history: RequestHistoryCheck,
): List<TrafficEffect> {
    val send = history.open ?: return emptyList()
    if (step == 5) {
        now += 60
        return tell(TrafficEvent.Ticked)
    }
    history.open = null
    return when (step) {
        0 -> tell(answer(send)).also { history.runs++ }

        1 -> tell(answer(send, status = 500)).also { history.runs++ }

        2 -> tell(answer(send, status = 503, notRun = true))

        3 -> tell(
            TrafficEvent.Broke(send.request, send.attempt, sent = true, detail = "closed"),
        ).also { history.runs++ }

        else -> tell(TrafficEvent.Broke(send.request, send.attempt, sent = false, detail = "refused"))
    }
}
