package org.mulberrypin.standins

import com.linecorp.armeria.common.HttpResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.schema.generated.ReceivedRequest
import org.mulberrypin.schema.generated.StandInFaults
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.util.concurrent.CountDownLatch

@DisplayName("The duty of a stand-in")
class StandInDutyTest {
    private val log = mutableListOf<String>()
    private val responses = mutableListOf<HttpResponse>()
    private val delayed = mutableListOf<() -> Unit>()
    private val work = StandInWork<String>(run = { call, lose -> log += "${call.operation} lost=$lose" })
    private val duty = startStandInDuty("test", systemClock(), tickMilliseconds = 1, work, ringCapacity = 2)
    private val exchange = HttpExchange(
        respond = { responses += it },
        disconnect = { log += "disconnected" },
        whenClosed = {},
        delay = { _, action -> delayed += action },
    )

    @AfterEach
    fun stop() = duty.stop()

    private fun submit(name: String) {
        duty.submit(StandInCall(name, name, exchange, ReceivedRequest()))
        duty.readFaultsAfterQueuedCalls()
    }

    private fun StandInDuty<String>.readFaultsAfterQueuedCalls(): StandInFaults {
        await {}
        return faults.read()
    }

    @Test
    fun `refuses a call as not run when the ring buffer is full`() {
        val started = CountDownLatch(1)
        val release = CountDownLatch(1)
        duty.post {
            started.countDown()
            release.await()
        }
        started.await()
        repeat(2) { duty.post {} }
        duty.submit(StandInCall("read", "read", exchange, ReceivedRequest()))
        release.countDown()
        val refusal = responses.single().aggregate().join()
        expectThat(refusal.status().code()).isEqualTo(503)
        expectThat(refusal.contentUtf8()).contains("\"run\":\"not_run\"")
    }

    @Test
    fun `applies counted faults only to the operations that they select`() {
        duty.faults.set(StandInFaults(operation = "write", loseAnswers = 1))
        listOf("read", "write", "write").forEach(::submit)
        expectThat(log).containsExactly("read lost=false", "write lost=true", "write lost=false")
    }

    @Test
    fun `runs a delayed call once while the delay is still configured`() {
        duty.faults.set(StandInFaults(slowMilliseconds = 10))
        submit("write")
        expectThat(log).isEqualTo(mutableListOf())
        delayed.single()()
        duty.readFaultsAfterQueuedCalls()
        expectThat(log).containsExactly("write lost=false")
    }

    @Test
    fun `disconnects without running calls while it is down`() {
        duty.faults.set(StandInFaults(down = true))
        submit("write")
        expectThat(log).containsExactly("disconnected")
    }
}
