package org.mulberrypin.decisions.traffic

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.element
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

class FinalStatusTest {
    /** Guards against a caller repeating a request that a backend server ran before it responded with such a status. */
    @Test
    fun `relays no status that means not run if the server does not state that it did not run the request`() {
        for (status in notRunStatuses) {
            for (kind in listOf(RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT)) {
                val fixture = fixture(kind, plainServers = 1)
                fixture.decide(arrival(1))
                fixture.decide(response(fixture.singleEffect(), status))
                expectThat(fixture.effectsOf<TrafficEffect.ForwardResponse>()).isEmpty()
                expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(502)
                expectThat(fixture.effectsOf<TrafficEffect.CountUsage>()).hasSize(1)
            }
        }
    }

    @Test
    fun `retries an idempotent request after a status that means not run but is not stated to`() {
        val fixture = fixture(RequestKind.IDEMPOTENT)
        fixture.decide(arrival(1))
        fixture.decide(response(fixture.singleEffect(), status = 429))
        fixture.decide(response(fixture.singleEffect()))
        expectThat(fixture.effectsOf<TrafficEffect.ForwardResponse>()).hasSize(1)
    }

    @Test
    fun `relays other client errors`() {
        val fixture = fixture(RequestKind.IDEMPOTENT)
        fixture.decide(arrival(1))
        fixture.decide(response(fixture.singleEffect(), status = 404))
        expectThat(fixture.effectsOf<TrafficEffect.ForwardResponse>()).hasSize(1)
    }

    /** Guards against a relayed status that is wrong about any of the attempts of a request. */
    @OptIn(ExperimentalKotest::class)
    @Test
    fun `ends each request with one status that is true of all its attempts`() {
        val settings = PropTestConfig(seed = 7, iterations = 2_000)
        val kinds = Arb.element(RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT)
        runBlocking {
            checkAll(settings, kinds, Arb.int(1..4), answers) { kind, limit, script ->
                val outcome = outcomeOf(kind, limit, script)
                val ran = outcome.answers.filter { !it.notRun }
                if (outcome.status in notRunStatuses) expectThat(ran).isEmpty()
                if (kind == RequestKind.NON_IDEMPOTENT) expectThat(ran.drop(1)).isEmpty()
                val last = outcome.answers.last()
                expectThat(outcome.status).isEqualTo(expectedStatus(last, ran.isNotEmpty()))
                expectThat(outcome.isRelayed).isEqualTo(isRelayable(last))
            }
        }
    }
}

private val notRunStatuses = listOf(408, 421, 429, 503)

private data class ServerAnswer(
    val status: Int,
    val notRun: Boolean,
    val signed: Boolean,
)

private data class RequestOutcome(
    val answers: List<ServerAnswer>,
    val status: Int,
    val isRelayed: Boolean,
)

private val answers: Arb<List<ServerAnswer>> = Arb.list(
    Arb.bind(
        Arb.element(notRunStatuses + listOf(200, 301, 400, 404, 500, 502, 504)),
        Arb.boolean(),
        Arb.boolean(),
        ::ServerAnswer,
    ),
    4..4,
)

private fun isRelayable(answer: ServerAnswer): Boolean =
    !answer.notRun && answer.status !in notRunStatuses && (answer.signed || answer.status >= 300)

private fun expectedStatus(
    last: ServerAnswer,
    hasRun: Boolean,
): Int =
    when {
        isRelayable(last) -> last.status
        hasRun -> 502
        else -> 503
    }

/** Sends a request whose attempts are answered in the order of [script], and checks that it ends exactly once. */
private fun outcomeOf(
    kind: RequestKind,
    attemptLimit: Int,
    script: List<ServerAnswer>,
): RequestOutcome {
    val fixture = fixture(kind, plainServers = 4)
    val routes = configuration(kind).routes.map { it.copy(attemptLimit = attemptLimit) }
    fixture.decide(TrafficEvent.ConfigurationChanged(configuration(kind).copy(routes = routes)))
    fixture.decide(arrival(1))
    val given = ArrayList<ServerAnswer>()
    while (true) {
        val send = fixture.effectsOf<TrafficEffect.Send>().singleOrNull() ?: break
        val answer = script[given.size]
        given += answer
        fixture.decide(response(send, answer.status, answer.notRun, answer.signed))
    }
    val isRelayed = fixture.effectsOf<TrafficEffect.ForwardResponse>().isNotEmpty()
    val statuses = fixture.effectsOf<TrafficEffect.Reject>().map { it.status } +
        fixture.effectsOf<TrafficEffect.ForwardResponse>().map { given.last().status }
    expectThat(statuses).hasSize(1)
    expectThat(fixture.state.requests.keys).isEmpty()
    return RequestOutcome(given, statuses.single(), isRelayed)
}
