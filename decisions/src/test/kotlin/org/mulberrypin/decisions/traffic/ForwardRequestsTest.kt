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
    fun `rejects requests as not run while no configuration is loaded`() {
        val fixture = TrafficFixture()
        fixture.decide(arrival(1))
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(503)
    }

    @Test
    fun `rejects a request without a route and one with an unknown key`() {
        val fixture = fixture()
        fixture.decide(arrival(1, path = "/nowhere/1"))
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(404)
        fixture.decide(arrival(2, key = "other"))
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(401)
    }

    @Test
    fun `selects the route with the longest path prefix on the host`() {
        val table = routingTableOf(configuration(RequestKind.IDEMPOTENT))
        expectThat(table.findRoute(HOST, "/orders/1?x=/sort/")?.name).isEqualTo("orders")
        expectThat(table.findRoute("other.example", "/orders/1")).isEqualTo(null)
    }

    @Test
    fun `retries an idempotent request on another backend server after a connection failure`() {
        val fixture = fixture()
        fixture.decide(arrival(1))
        val first = fixture.singleEffect<TrafficEffect.Send>()
        fixture.decide(TrafficEvent.AttemptFailed(1, first.attempt, sent = true, detail = "closed"))
        val second = fixture.singleEffect<TrafficEffect.Send>()
        expectThat(second.server).isNotEqualTo(first.server)
    }

    @Test
    fun `does not retry a non-idempotent request that may have run`() {
        val fixture = fixture(RequestKind.NON_IDEMPOTENT)
        fixture.decide(arrival(1))
        fixture.decide(
            TrafficEvent.AttemptFailed(
                1,
                fixture.singleEffect<TrafficEffect.Send>().attempt,
                sent = true,
                detail = "closed",
            ),
        )
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).isEmpty()
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(502)
    }

    @Test
    fun `retries a non-idempotent request that was not run`() {
        val fixture = fixture(RequestKind.NON_IDEMPOTENT)
        fixture.decide(arrival(1))
        fixture.decide(response(fixture.singleEffect(), status = 503, notRun = true))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).hasSize(1)
    }

    @Test
    fun `never forwards a successful response without a signature`() {
        val fixture = fixture(RequestKind.NON_IDEMPOTENT)
        fixture.decide(arrival(1))
        fixture.decide(response(fixture.singleEffect(), signed = false))
        expectThat(fixture.effectsOf<TrafficEffect.ForwardResponse>()).isEmpty()
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(502)
    }

    @Test
    fun `counts usage once if two attempts ran`() {
        val fixture = fixture()
        fixture.decide(arrival(1))
        fixture.decide(response(fixture.singleEffect(), status = 500))
        val counted = fixture.effectsOf<TrafficEffect.CountUsage>().size
        fixture.decide(response(fixture.singleEffect()))
        expectThat(counted + fixture.effectsOf<TrafficEffect.CountUsage>().size).isEqualTo(1)
    }

    @Test
    fun `counts usage once if the first attempt failed and the second got a response`() {
        val fixture = fixture()
        fixture.decide(arrival(1))
        fixture.decide(
            TrafficEvent.AttemptFailed(
                1,
                fixture.singleEffect<TrafficEffect.Send>().attempt,
                sent = true,
                detail = "closed",
            ),
        )
        fixture.decide(response(fixture.singleEffect()))
        expectThat(fixture.effectsOf<TrafficEffect.CountUsage>()).hasSize(1)
    }

    @Test
    fun `responds with a timeout when the timeout of the route expires`() {
        val fixture = fixture(RequestKind.NON_IDEMPOTENT)
        fixture.decide(arrival(1))
        fixture.nowMilliseconds += 800
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(504)
        expectThat(fixture.effectsOf<TrafficEffect.Cancel>()).hasSize(1)
    }

    @Test
    fun `cancels the attempt when the client disconnects`() {
        val fixture = fixture()
        fixture.decide(arrival(1))
        fixture.decide(TrafficEvent.CallerDisconnected(1))
        expectThat(fixture.effectsOf<TrafficEffect.Cancel>()).hasSize(1)
        expectThat(
            fixture.state.backends.values
                .sumOf { it.inFlight },
        ).isEqualTo(0)
    }

    // Guards against a request that waits for a backend server and is sent after its caller has left.
    @Test
    fun `sends nothing for a client that disconnects while its request waits`() {
        val fixture = fixture(plainServers = 1)
        fixture.decide(TrafficEvent.BackendsChanged(emptyList()))
        fixture.decide(arrival(1))
        fixture.decide(TrafficEvent.CallerDisconnected(1))
        fixture.decide(TrafficEvent.BackendsChanged(listOf(plainServer("plain-1"))))
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).isEmpty()
        expectThat(fixture.state.requests).isEmpty()
    }

    @Test
    fun `sends no request to a backend server that is leaving`() {
        val fixture = fixture(plainServers = 1)
        fixture.decide(TrafficEvent.BackendsChanged(listOf(plainServer("plain-1").copy(leaving = true))))
        fixture.decide(arrival(1))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).isEmpty()
    }

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `responds once to each request, runs it at most once, and sends not run only if it did not run`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 42, iterations = 500), Arb.list(Arb.int(0..5), 1..12)) { script ->
                val fixture = fixture(RequestKind.NON_IDEMPOTENT)
                val history = RequestHistoryCheck()
                history.record(fixture.decide(arrival(1)))
                script.forEach { step -> history.record(fixture.applyStep(step, history)) }
                fixture.nowMilliseconds += 2_000
                history.record(fixture.decide(TrafficEvent.Tick))
                expectThat(history.responses).isEqualTo(1)
                expectThat(history.runs).isLessThanOrEqualTo(1)
                if (history.status == 503) expectThat(history.runs).isEqualTo(0)
            }
        }
    }
}

/** Records the responses to a request and how often it may have run. */
private class RequestHistoryCheck {
    var responses = 0
    var runs = 0
    var status = 0
    var openAttempt: TrafficEffect.Send? = null

    fun record(effects: List<TrafficEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is TrafficEffect.Send -> openAttempt = effect
                is TrafficEffect.ForwardResponse -> responses++
                is TrafficEffect.Reject -> responses++.also { status = effect.status }
                else -> Unit
            }
        }
    }
}

/** Applies one step of a script to the open attempt; counts an attempt that failed after it was sent as run. */
private fun TrafficFixture.applyStep(
    step: Int,
    history: RequestHistoryCheck,
): List<TrafficEffect> {
    val send = history.openAttempt ?: return emptyList()
    if (step == 5) {
        nowMilliseconds += 60
        return decide(TrafficEvent.Tick)
    }
    history.openAttempt = null
    return when (step) {
        0 -> decide(response(send)).also { history.runs++ }

        1 -> decide(response(send, status = 500)).also { history.runs++ }

        2 -> decide(response(send, status = 503, notRun = true))

        3 -> decide(
            TrafficEvent.AttemptFailed(send.request, send.attempt, sent = true, detail = "closed"),
        ).also { history.runs++ }

        else -> decide(TrafficEvent.AttemptFailed(send.request, send.attempt, sent = false, detail = "refused"))
    }
}
