package org.mulberrypin.standins.load

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.StandInFaults
import org.mulberrypin.standins.engine.EngineStandInOptions
import org.mulberrypin.standins.engine.startEngineStandIn
import org.mulberrypin.standins.plainservice.startPlainServiceStandIn
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@DisplayName("The callers of a load run")
class RunCallersTest {
    private val engine = startEngineStandIn(EngineStandInOptions(tokenMilliseconds = 1))
    private val service = startPlainServiceStandIn()
    private val options = CallerOptions(
        addresses = listOf(engine.address),
        key = "secret",
        model = "stand-in",
        callers = 4,
        callsOfCaller = 5,
        maxTokens = 16,
        retryPauseMilliseconds = 1,
    )
    private val writes = options.copy(addresses = listOf(service.address), model = "", plainRoute = "shop")

    @AfterEach
    fun stop() {
        engine.stop()
        service.stop()
    }

    @Test
    fun `get whole answers, streamed and not`() {
        val report = runCallers(options)
        expectThat(report).get { whole }.isEqualTo(20)
        expectThat(report.latencies.values.sumOf { it.count }).isEqualTo(20)
        expectThat(engine.received("secret").requests.size).isEqualTo(20)
    }

    @Test
    fun `count refusals and cuts, and send again`() {
        engine.faults.set(StandInFaults(refuse = 2, loseAnswers = 3))
        val report = runCallers(options)
        expectThat(report.whole).isEqualTo(20)
        expectThat(report.refusals).isEqualTo(mapOf("not_run" to 2L))
        expectThat(report.cuts).isEqualTo(3)
    }

    @Test
    fun `count calls that are never answered as lost`() {
        engine.faults.set(StandInFaults(down = true))
        expectThat(runCallers(options.copy(callsOfCaller = 1, attempts = 2)).lost).isEqualTo(4)
    }

    @Test
    fun `notice a write that was executed twice, and send one without a key only once`() {
        service.faults.set(StandInFaults(loseAnswers = 2))
        val report = runCallers(writes.copy(callers = 1))
        expectThat(report.whole).isEqualTo(4)
        expectThat(report.lost).isEqualTo(1)
        expectThat(doubledWrites(report.writes, service.executions())).isEqualTo(1)
        expectThat(service.executions().getValue("load-1-0-0")).isEqualTo(1)
    }

    @Test
    fun `notice a refusal that says falsely that a write was not run`() {
        service.faults.set(StandInFaults(refuse = 20))
        val report = runCallers(writes.copy(callers = 1))
        expectThat(report.refused).isEqualTo(mapOf("not_run" to 5L))
        expectThat(falselyNotRun(report.writesNotRun, service.executions())).isEqualTo(0)
        expectThat(falselyNotRun(report.writesNotRun, mapOf("load-1-0-3" to 1))).isEqualTo(1)
    }
}
