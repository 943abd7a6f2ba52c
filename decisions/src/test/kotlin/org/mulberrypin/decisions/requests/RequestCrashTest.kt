package org.mulberrypin.decisions.requests

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.Transition
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

@DisplayName("Request content that crashes backend servers")
class RequestCrashTest {
    private val poison = RequestFixtures.arrival(1, content = "poison")

    @Test
    fun `is isolated after two crashes, and the reply is that it may have run`() {
        val crashed = crashTwice()
        expectThat(crashed.effects.replies()).hasSize(1)
        expectThat(crashed.effects.replies().single()).isA<RequestReply.MayHaveRun>()
    }

    @Test
    fun `is refused as not run when it is submitted again`() {
        val again = RequestEvent.RequestSubmitted(RequestFixtures.arrival(2, content = "poison"))
        val effects = RequestFixtures.run(crashTwice().state, again).effects
        expectThat(effects.dispatches()).isEmpty()
        expectThat(effects.replies().single()).isA<RequestReply.NotRun>().get { refusal }.isEqualTo(Refusal.ISOLATED)
    }

    @Test
    fun `does not stop other requests of its team`() {
        val other = RequestEvent.RequestSubmitted(RequestFixtures.arrival(3, content = "harmless"))
        expectThat(RequestFixtures.run(crashTwice().state, other).effects.dispatches()).hasSize(1)
    }

    @Test
    fun `is accepted again when the isolation has expired`() {
        val later = 10 + RequestFixtures.limits.isolationMilliseconds
        val released = RequestFixtures.run(crashTwice().state, RequestEvent.Tick, nowMilliseconds = later).state
        val again = RequestEvent.RequestSubmitted(RequestFixtures.arrival(4, content = "poison"))
        expectThat(RequestFixtures.run(released, again, nowMilliseconds = later).effects.dispatches()).hasSize(1)
    }

    @Test
    fun `is isolated after crash reports from peers`() {
        val reports =
            arrayOf(RequestEvent.CrashReported("poison", "engine-1"), RequestEvent.CrashReported("poison", "engine-2"))
        val effects = RequestFixtures
            .run(
                RequestFixtures.state(),
                *reports,
                RequestEvent.RequestSubmitted(poison),
            ).effects
        expectThat(effects.replies()).filterIsInstance<RequestReply.NotRun>().hasSize(1)
    }

    @Nested
    @DisplayName("once it is a suspect")
    inner class Suspect {
        @Test
        fun `never runs on the same backend server as another suspect`() {
            val reports =
                arrayOf<RequestEvent>(
                    RequestEvent.CrashReported("poison", "shop-1"),
                    RequestEvent.CrashReported("other", "shop-1"),
                )
            val other = RequestFixtures.arrival(5, content = "other")
            val events = reports + RequestEvent.RequestSubmitted(poison) + RequestEvent.RequestSubmitted(other)
            val servers = RequestFixtures
                .run(RequestFixtures.state(), *events)
                .effects
                .dispatches()
                .map { it.server }
            expectThat(servers).hasSize(2)
            expectThat(servers.first()).isNotEqualTo(servers.last())
        }

        @Test
        fun `is cleared by a complete response`() {
            val report = RequestEvent.CrashReported("harmless", "shop-1")
            val arrival = RequestEvent.RequestSubmitted(RequestFixtures.arrival(6, content = "harmless"))
            val finish = RequestEvent.AttemptFinished(6, 1, "stop", 1)
            val state = RequestFixtures.run(RequestFixtures.state(), report, arrival, finish).state
            expectThat(
                state.crashes.suspects.keys
                    .toList(),
            ).isEmpty()
        }
    }

    @Test
    fun `is not blamed for an outage of a failure domain`() {
        val configuration = RequestFixtures.configuration
        val inOneDomain =
            configuration.copy(
                pools =
                    configuration.pools.map { pool ->
                        pool.copy(backendServers = pool.backendServers.map { it.copy(failureDomain = "armor-a") })
                    },
            )
        val arrivals = (1L..6L).map { RequestEvent.RequestSubmitted(RequestFixtures.arrival(it)) }
        val busy = RequestFixtures.run(RequestFixtures.state(inOneDomain), *arrivals.toTypedArray())
        val cuts =
            busy.effects.dispatches().map {
                RequestEvent.AttemptFailed(it.request, it.attempt, AttemptEnding.CUT, "outage.")
            }
        val after = cuts.fold(busy.state) { state, cut -> RequestFixtures.decide(state, cut, 0).state }
        expectThat(
            after.crashes.suspects.values
                .filter { it.servers.size > 1 },
        ).isEmpty()
        expectThat(
            after.recentDisconnects.keys
                .toList()
                .sorted(),
        ).containsExactly("engine-1", "engine-2", "engine-3")
    }

    private fun crashTwice(): Transition<RequestState, RequestEffect> =
        RequestFixtures.run(
            RequestFixtures.state(),
            RequestEvent.RequestSubmitted(poison),
            RequestEvent.AttemptFailed(1, 1, AttemptEnding.CUT, "crash."),
            RequestEvent.AttemptFailed(1, 2, AttemptEnding.CUT, "crash."),
        )
}
