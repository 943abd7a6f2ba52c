package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.RetryBudget
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo

/** Load: a pool that has become so slow that attempts time out, while callers keep coming. */
class RetryBudgetTest {
    @Test
    fun `a pool whose attempts time out gets a share of its first attempts as retries, and a few more`() {
        val fixture = fixture(plainServers = 12)
        val retries = (1L..100L).sumOf { fixture.timeOut(it) }
        expectThat(retries).isIn(20..32)
        expectThat(fixture.state.requests.values.size).isLessThanOrEqualTo(1)
    }

    @Test
    fun `a withheld retry is told and counted, and the caller hears at once that the request may have run`() {
        val fixture = fixture(plainServers = 12)
        (1L..100L).forEach { fixture.timeOut(it) }
        // The last of these finds the budget spent, since each adds a fifth of a retry.
        repeat(2) { fixture.timeOut(200L + it) }
        if (fixture.effectsOf<TrafficEffect.CountLoadDecision>().isEmpty()) fixture.timeOut(300)
        expectThat(fixture.effectsOf<TrafficEffect.CountLoadDecision>().map { it.decision })
            .isEqualTo(listOf(LoadDecision.RETRY_WITHHELD))
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(502)
    }

    @Test
    fun `the first retry after a refusal goes to another server whatever the budget`() {
        val fixture = fixture(plainServers = 12)
        fixture.state = fixture.state.withPressure("plain") { it.copy(retries = RetryBudget(0.0)) }
        fixture.decide(arrival(1))
        fixture.decide(response(fixture.singleEffect(), status = 503, notRun = true))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).hasSize(1)
    }

    @Test
    fun `a pool that has room gets every retry`() {
        val fixture = fixture(plainServers = 12)
        (1L..100L).forEach { request ->
            fixture.decide(arrival(request))
            val send = fixture.singleEffect<TrafficEffect.Send>()
            fixture.decide(TrafficEvent.AttemptFailed(request, send.attempt, sent = true, detail = "closed"))
            expectThat(fixture.effectsOf<TrafficEffect.Send>()).hasSize(1)
            fixture.decide(response(fixture.singleEffect()))
        }
    }

    @Test
    fun `a retry that would end after the caller has left is not made`() {
        val fixture = fixture(plainServers = 3)
        (1L..10L).forEach { request ->
            fixture.decide(arrival(request))
            fixture.nowMilliseconds += 300
            fixture.decide(response(fixture.singleEffect()))
        }
        fixture.decide(arrival(11))
        val send = fixture.singleEffect<TrafficEffect.Send>()
        fixture.nowMilliseconds += 600
        fixture.decide(TrafficEvent.AttemptFailed(11, send.attempt, sent = true, detail = "closed"))
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(502)
    }

    /** Lets a request's first attempt time out; returns the number of its retries, which time out as well. */
    private fun TrafficFixture.timeOut(request: Long): Int {
        decide(arrival(request))
        nowMilliseconds += 410
        decide(TrafficEvent.Tick)
        val retries = effectsOf<TrafficEffect.Send>().size
        if (retries > 0) {
            nowMilliseconds += 410
            decide(TrafficEvent.Tick)
        }
        return retries
    }
}
