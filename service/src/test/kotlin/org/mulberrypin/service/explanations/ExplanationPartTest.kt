package org.mulberrypin.service.explanations

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.Server
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.manualClock
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.schema.generated.ExplanationQuestion
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.KeyRole
import org.mulberrypin.service.peers.PeerCall
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetSocketAddress

@DisplayName("The explanation part")
class ExplanationPartTest {
    private val parts = mutableMapOf<String, ExplanationPart>()
    private val callPeer: PeerCall<ExplanationQuestion, ExplanationAnswer> =
        { address, _, question, onOutcome ->
            when (val part = parts[address]) {
                null -> onOutcome(Outcome.Failure(Fault("explain", address, FaultKind.NOT_RUN, "No such peer.")))
                else -> part.handlePeer(question, onOutcome)
            }
        }
    private val first = start("first")
    private val second = start("second")
    private val server = Server
        .builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .also { builder -> first.routes(builder, ::callerOf) { it == "Bearer operator" } }
        .build()
        .also { it.start().join() }

    init {
        val instances = listOf("first", "second").map { InstanceEntry(name = it, peerAddress = it) }
        first.peersChanged(instances)
        first.explain(Explanation(1, "first", "request", "r-1", team = "shop", reason = "one"))
        second.explain(Explanation(2, "second", "request", "r-1", team = "shop", reason = "two"))
        second.explain(Explanation(3, "second", "request", "r-1", team = "stock", reason = "three"))
    }

    @AfterEach
    fun stop() {
        server.stop().join()
        parts.values.forEach { it.stop() }
    }

    @Test
    fun `returns the records of all instances and teams to operators`() {
        val answer = get("/operator/explanations?subject=request&name=r-1", "Bearer operator")
        expectThat(reasons(answer)).isEqualTo(listOf("one", "two", "three"))
    }

    @Test
    fun `returns only the records of their own team to callers`() {
        val answer = get("/v1/explanations?subject=request&name=r-1", "Bearer shop")
        expectThat(reasons(answer)).isEqualTo(listOf("one", "two"))
    }

    @Test
    fun `rejects unknown keys, caller keys on the operator route, and queries without a subject`() {
        val statuses = listOf(
            get("/v1/explanations?subject=request", "Bearer nobody"),
            get("/operator/explanations?subject=request", "Bearer shop"),
            get("/v1/explanations", "Bearer shop"),
        ).map { it.status() }
        expectThat(statuses)
            .isEqualTo(listOf(HttpStatus.UNAUTHORIZED, HttpStatus.UNAUTHORIZED, HttpStatus.BAD_REQUEST))
    }

    @Test
    fun `reports an instance that does not respond as missing`() {
        first.peersChanged(listOf(InstanceEntry(name = "gone", peerAddress = "gone")))
        val answer = get("/operator/explanations?subject=request", "Bearer operator")
        expectThat(read(answer).missingInstances).isEqualTo(listOf("gone"))
    }

    private fun start(name: String): ExplanationPart =
        startExplanationPart(name, manualClock().clock, SimpleMeterRegistry(), callPeer).also { parts[name] = it }

    private fun callerOf(header: String?): Caller? =
        header
            ?.removePrefix("Bearer ")
            ?.takeIf { it in setOf("shop", "stock") }
            ?.let { Caller(it, "key", KeyRole.CALLER) }

    private fun get(
        path: String,
        authorization: String,
    ): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(HttpMethod.GET, path).add("authorization", authorization).build()
        return WebClient.of("http://127.0.0.1:${server.activeLocalPort()}").blocking().execute(headers)
    }

    private fun read(answer: AggregatedHttpResponse): ExplanationAnswer =
        wireJson.decodeFromString(ExplanationAnswer.serializer(), answer.contentUtf8())

    private fun reasons(answer: AggregatedHttpResponse): List<String> = read(answer).explanations.map { it.reason }
}
