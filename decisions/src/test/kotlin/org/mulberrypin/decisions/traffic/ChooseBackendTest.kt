package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.work.LoadReport
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo

/**
 * Load pattern: one request in some seconds at each of many instances, which see little of their servers, and servers
 * of unequal and changing speed.
 */
class ChooseBackendTest {
    @Test
    fun `sends nothing to a server that has reported a queue just now`() {
        val fixture = fixture()
        val full = fixture.send(1)
        fixture.answer(full, LoadReport(6, 9, 6))
        (2L..6L).forEach { expectThat(fixture.sendAndAnswer(it).server).isNotEqualTo(full.server) }
    }

    @Test
    fun `sends nothing to a server whose machine is slow now, and some again once the report is old`() {
        val fixture = fixture()
        val slow = fixture.send(1)
        fixture.answer(slow, LoadReport(1, 0, 6, slownessPercent = 400))
        expectThat((2L..6L).count { fixture.sendAndAnswer(it).server == slow.server }).isEqualTo(0)
        fixture.nowMilliseconds += 20_000
        expectThat((11L..25L).count { fixture.send(it).server == slow.server }).isGreaterThan(0)
    }

    @Test
    fun `instances with the same outdated report do not all choose the same server`() {
        val chosen = (1..60L).map { instance ->
            val fixture = fixture(plainServers = 6)
            fixture.sendAll(6).forEach { fixture.answer(it, LoadReport(if (it.server == "plain-1") 0 else 2, 0, 6)) }
            fixture.nowMilliseconds += 1_500
            fixture.send(100 + instance).server
        }
        expectThat(
            chosen
                .groupingBy { it }
                .eachCount()
                .values
                .max(),
        ).isLessThan(30)
    }

    @Test
    fun `a server that reports to be idle but takes long loses its share`() {
        val fixture = fixture(plainServers = 4)
        (1..400L).forEach { fixture.runOnce(it) }
        val late = (401..500L).map { fixture.runOnce(it) }
        expectThat(late.count { it == "plain-1" }).isLessThan(10)
    }

    @Test
    fun `prefers the own failure domain and an open connection while servers are about equal`() {
        val fixture = fixture(plainServers = 0)
        val far = (1..3).map { plainServer("far-$it").copy(failureDomain = "zone-b") }
        fixture.decide(TrafficEvent.BackendsChanged(far + plainServer("near-1") + plainServer("near-2")))
        val first = fixture.sendAndAnswer(1).server
        expectThat(first.startsWith("near")).isEqualTo(true)
        expectThat((2L..20L).map { fixture.sendAndAnswer(it).server }.toSet()).isEqualTo(setOf(first))
    }

    @Test
    fun `sends no further request to a near server once it has so many that a far one is faster`() {
        val fixture = fixture(plainServers = 0)
        val far = plainServer("far-1").copy(failureDomain = "zone-b")
        fixture.decide(TrafficEvent.BackendsChanged(listOf(far, plainServer("near-1"))))
        val servers = fixture.sendAll(12).map { it.server }
        expectThat(servers.count { it == "far-1" }).isGreaterThan(3)
    }

    @Test
    fun `the log tells the parts of the expected completion, and metrics what came of it`() {
        val fixture = fixture()
        fixture.answer(fixture.send(1), LoadReport(0, 0, 6))
        val forecast = fixture.singleEffect<TrafficEffect.MeasureForecast>()
        expectThat(forecast.kind).isEqualTo(ForecastKind.REQUEST)
        fixture.send(2)
        val line = fixture.effectsOf<TrafficEffect.RecordDecision>().single { it.decision == "sent" }.inputs
        listOf("expected=", "wait=", "running=", "preference=", "reportAge=", "slowness=").forEach {
            expectThat(line.contains(it)).describedAs(it).isEqualTo(true)
        }
    }

    /** One request; the first server reports to be idle and fast, and takes ten times as long as the others. */
    private fun TrafficFixture.runOnce(request: Long): String {
        nowMilliseconds += 100
        val send = send(request)
        nowMilliseconds += if (send.server == "plain-1") 225 else 0
        answer(send, LoadReport(0, 0, 6, slownessPercent = if (send.server == "plain-1") 50 else 100))
        return send.server
    }

    private fun TrafficFixture.send(request: Long): TrafficEffect.Send {
        decide(arrival(request))
        return singleEffect()
    }

    private fun TrafficFixture.sendAll(count: Int): List<TrafficEffect.Send> = (1L..count).map { send(it) }

    private fun TrafficFixture.answer(
        send: TrafficEffect.Send,
        load: LoadReport?,
    ): List<TrafficEffect> {
        nowMilliseconds += 25
        return decide(response(send).copy(load = load))
    }

    private fun TrafficFixture.sendAndAnswer(request: Long): TrafficEffect.Send {
        val send = send(request)
        answer(send, null)
        return send
    }
}
