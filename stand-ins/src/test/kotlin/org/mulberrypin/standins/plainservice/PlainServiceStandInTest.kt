package org.mulberrypin.standins.plainservice

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.StandInFaults
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure

@DisplayName("The plain service stand-in")
class PlainServiceStandInTest {
    private val service = startPlainServiceStandIn(PlainServiceStandInOptions(delayMilliseconds = 1))
    private val client = WebClient.of("h1c://${service.address}")

    @AfterEach
    fun stop() = service.stop()

    private fun send(id: String) =
        client
            .execute(
                RequestHeaders.of(HttpMethod.PUT, "/stock/beech?x=1", "x-request-id", id),
                HttpData.ofUtf8("3 blanks"),
            ).aggregate()
            .join()

    @Test
    fun `executes any method under any path and counts by identifier`() {
        expectThat(send("a").contentUtf8()).isEqualTo("PUT /stock/beech?x=1 a")
        send("a")
        expectThat(service.executions()).isEqualTo(mapOf("a" to 2))
        expectThat(
            client
                .get("/executions")
                .aggregate()
                .join()
                .contentUtf8(),
        ).contains("\"executions\":2")
    }

    @Test
    fun `disconnects after the execution if a fault drops the response`() {
        service.faults.set(StandInFaults(loseAnswers = 1))
        expectCatching { send("a") }.isFailure()
        expectThat(service.executions()).isEqualTo(mapOf("a" to 1))
    }

    @Test
    fun `refuses before the execution when a fault is set over HTTP`() {
        val faults = wireJson.encodeToString(StandInFaults.serializer(), StandInFaults(refuse = 1))
        client.post("/faults", faults).aggregate().join()
        val refusal = send("a")
        expectThat(refusal.status().code()).isEqualTo(503)
        expectThat(refusal.contentUtf8()).contains("not_run")
        expectThat(service.executions()).isEqualTo(emptyMap())
        expectThat(send("b").status().code()).isEqualTo(200)
    }
}
