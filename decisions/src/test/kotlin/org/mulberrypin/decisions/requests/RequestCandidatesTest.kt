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

@DisplayName("The backend servers that a request may use")
class RequestCandidatesTest {
    @Nested
    @DisplayName("when a backend server is leaving")
    inner class Leaving {
        @Test
        fun `do not include it`() {
            val book = RequestFixtures.book(withEngines { if (it.name == "engine-1") it.copy(leaving = true) else it })
            val used = sendAll(book, count = 4).map { it.server }.toSet()
            expectThat(used).containsExactlyInAnyOrder("engine-2", "engine-3")
        }

        @Test
        fun `do not include any when all are leaving`() {
            val book = RequestFixtures.book(withEngines { it.copy(leaving = true) })
            expectThat(sendAll(book, count = 4)).isEmpty()
        }

        @Test
        fun `still let it finish what it runs`() {
            val busy = RequestFixtures.run(RequestFixtures.book(), RequestEvent.Arrived(RequestFixtures.arrival(1)))
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
        fun `do not include a full one`() {
            val full = RequestEvent.LoadReported("engine-1", EngineLoad(running = 2))
            val book = RequestFixtures.run(RequestFixtures.book(), full).state
            expectThat(sendAll(book, count = 1).single().server).isNotEqualTo("engine-1")
        }

        @Test
        fun `count a report less with its age`() {
            val full = RequestEvent.LoadReported("engine-1", EngineLoad(running = 2))
            val book = RequestFixtures.run(RequestFixtures.book(), full).state
            val sent = sendAll(book, count = 6, nowMilliseconds = 60_000)
            expectThat(sent.count { it.server == "engine-1" }).isEqualTo(2)
        }
    }

    private fun sendAll(
        book: RequestBook,
        count: Int,
        nowMilliseconds: Long = 0,
    ): List<RequestEffect.Dispatch> {
        val arrivals = (1..count).map { RequestEvent.Arrived(RequestFixtures.arrival(100L + it)) }
        return RequestFixtures
            .run(book, *arrivals.toTypedArray(), nowMilliseconds = nowMilliseconds)
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
