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

@DisplayName("The callers of a load test")
class RunCallersTest {
    private val engine = startEngineStandIn(EngineStandInOptions(tokenMilliseconds = 1))
    private val service = startPlainServiceStandIn()
    private val options = CallerOptions(
        addresses = listOf(engine.address),
        key = "secret",
        model = "stand-in",
        callers = 4,
        callsPerCaller = 5,
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
    fun `receive complete answers, streamed and not`() {
        val report = runCallers(options)
        expectThat(report).get { complete }.isEqualTo(20)
        expectThat(report.latencies.values.sumOf { it.count }).isEqualTo(20)
        expectThat(engine.received("secret").requests.size).isEqualTo(20)
    }

    @Test
    fun `count refusals and unanswered attempts, and retry both`() {
        val faults = StandInFaults(refuse = 2, loseAnswers = 3)
        engine.faults.set(faults)
        // One call may receive all faults, so it needs one more attempt than there are faults.
        val report = runCallers(options.copy(attempts = faults.refuse + faults.loseAnswers + 1))
        expectThat(report.complete).isEqualTo(20)
        expectThat(report.refusals).isEqualTo(mapOf("not_run" to 2L))
        expectThat(report.unansweredAttempts).isEqualTo(3)
    }

    @Test
    fun `count a call without any response as unanswered`() {
        engine.faults.set(StandInFaults(down = true))
        expectThat(runCallers(options.copy(callsPerCaller = 1, attempts = 2)).unanswered).isEqualTo(4)
    }

    @Test
    fun `detect a write that was executed twice, and do not retry one without a key`() {
        service.faults.set(StandInFaults(loseAnswers = 2))
        val report = runCallers(writes.copy(callers = 1))
        expectThat(report.complete).isEqualTo(4)
        expectThat(report.unanswered).isEqualTo(1)
        expectThat(report.duplicateWrites(service.executions())).isEqualTo(1)
        expectThat(service.executions().getValue("load-1-0-0")).isEqualTo(1)
    }

    @Test
    fun `detect a write that was executed although its refusal said that it was not run`() {
        service.faults.set(StandInFaults(refuse = 20))
        val report = runCallers(writes.copy(callers = 1))
        expectThat(report.refused).isEqualTo(mapOf("not_run" to 5L))
        expectThat(report.wronglyReportedNotRun(service.executions())).isEqualTo(0)
        expectThat(report.wronglyReportedNotRun(mapOf("load-1-0-3" to 1))).isEqualTo(1)
    }
}
