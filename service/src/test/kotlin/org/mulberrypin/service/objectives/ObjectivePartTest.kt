package org.mulberrypin.service.objectives

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.Server
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.objectives.ObjectiveEvent
import org.mulberrypin.runtime.manualClock
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnQuestion
import org.mulberrypin.schema.generated.BurnReport
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.Team
import org.mulberrypin.service.peers.PeerCall
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetSocketAddress

@DisplayName("The objective part")
class ObjectivePartTest {
    private val clock = manualClock(startMilliseconds = 1_000_000).clock
    private val parts = mutableMapOf<String, ObjectivePart>()
    private val callPeer: PeerCall<BurnQuestion, BurnAnswer> =
        { address, _, question, onOutcome -> parts[address]?.handlePeer?.invoke(question, onOutcome) }
    private val first = startObjectivePart("first", clock, callPeer).also { parts["first"] = it }
    private val second = startObjectivePart("second", clock, callPeer).also { parts["second"] = it }
    private val server = Server
        .builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .also { builder -> first.routes(builder) { it == "Bearer operator" } }
        .build()
        .also { it.start().join() }

    init {
        first.configurationChanged(Configuration(teams = listOf(Team("shop", objectivePerMille = 900))))
        first.peersChanged(listOf("first", "second").map { InstanceEntry(name = it, peerAddress = it) })
        repeat(3) { first.record(ObjectiveEvent("shop", "shop-app", good = true)) }
        second.record(ObjectiveEvent("shop", "shop-app", good = false))
    }

    @AfterEach
    fun stop() {
        server.stop().join()
        parts.values.forEach { it.stop() }
    }

    @Test
    fun `reports the burn rate over the events of all instances`() {
        val report = read(get("", "Bearer operator"))
        val line = report.lines.single()
        expectThat(line.good to line.bad).isEqualTo(3L to 1L)
        expectThat(line.worstHour?.burnRate).isEqualTo(0.25 / (1 - 0.9))
        expectThat(report.instances).isEqualTo(listOf("first", "second"))
    }

    @Test
    fun `reports only the events of this instance with instances=this`() {
        val report = read(get("?instances=this", "Bearer operator"))
        expectThat(report.lines.single().bad).isEqualTo(0L)
    }

    @Test
    fun `rejects keys other than the operators' key`() {
        expectThat(get("", "Bearer shop").status()).isEqualTo(HttpStatus.UNAUTHORIZED)
    }

    private fun get(
        parameters: String,
        authorization: String,
    ): AggregatedHttpResponse {
        val headers = RequestHeaders
            .builder(HttpMethod.GET, "/operator/reports/burn$parameters")
            .add("authorization", authorization)
            .build()
        return WebClient.of("http://127.0.0.1:${server.activeLocalPort()}").blocking().execute(headers)
    }

    private fun read(answer: AggregatedHttpResponse): BurnReport =
        wireJson.decodeFromString(BurnReport.serializer(), answer.contentUtf8())
}
