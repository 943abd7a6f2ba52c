package org.mulberrypin.decisions.requests

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.EngineLoad
import org.mulberrypin.schema.generated.Pool
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

@DisplayName("Candidate backend servers of a request")
class RequestCandidatesTest {
    @Nested
    @DisplayName("when a backend server is leaving")
    inner class Leaving {
        @Test
        fun `exclude it`() {
            val state =
                RequestFixtures.state(withEngines { if (it.name == "engine-1") it.copy(leaving = true) else it })
            val used = sendAll(state, count = 4).map { it.server }.toSet()
            expectThat(used).containsExactlyInAnyOrder("engine-2", "engine-3")
        }

        @Test
        fun `are empty when all are leaving`() {
            val state = RequestFixtures.state(withEngines { it.copy(leaving = true) })
            expectThat(sendAll(state, count = 4)).isEmpty()
        }

        @Test
        fun `do not affect requests that it already runs`() {
            val busy = RequestFixtures.run(
                RequestFixtures.state(),
                RequestEvent.RequestSubmitted(RequestFixtures.arrival(1)),
            )
            val leaving = withEngines { it.copy(leaving = true) }.copy(version = 2)
            val next = RequestFixtures.run(busy.state, RequestEvent.ConfigurationChanged(leaving))
            expectThat(next.effects.replies()).isEmpty()
            val finished = RequestFixtures.run(next.state, RequestEvent.AttemptFinished(1, 1, "stop", 1))
            expectThat(finished.effects.replies().map { it::class }).contains(RequestReply.Finished::class)
        }
    }

    @Nested
    @DisplayName("when engines report their load")
    inner class Reported {
        @Test
        fun `exclude a fully loaded engine`() {
            val full = RequestEvent.LoadReported("engine-1", EngineLoad(running = 2))
            val state = RequestFixtures.run(RequestFixtures.state(), full).state
            expectThat(sendAll(state, count = 1).single().server).isNotEqualTo("engine-1")
        }

        @Test
        fun `ignore an expired load report`() {
            val full = RequestEvent.LoadReported("engine-1", EngineLoad(running = 2))
            val state = RequestFixtures.run(RequestFixtures.state(), full).state
            val sent = sendAll(state, count = 6, nowMilliseconds = 60_000)
            expectThat(sent.count { it.server == "engine-1" }).isEqualTo(2)
        }
    }

    private fun sendAll(
        state: RequestState,
        count: Int,
        nowMilliseconds: Long = 0,
    ): List<RequestEffect.Dispatch> {
        val arrivals = (1..count).map { RequestEvent.RequestSubmitted(RequestFixtures.arrival(100L + it)) }
        return RequestFixtures
            .run(state, *arrivals.toTypedArray(), nowMilliseconds = nowMilliseconds)
            .effects
            .dispatches()
    }

    private fun withEngines(
        change: (BackendServer) -> BackendServer,
    ) = RequestFixtures.configuration.copy(
        pools =
            RequestFixtures.configuration.pools.map { pool: Pool ->
                pool.copy(backendServers = pool.backendServers.map(change))
            },
    )
}
