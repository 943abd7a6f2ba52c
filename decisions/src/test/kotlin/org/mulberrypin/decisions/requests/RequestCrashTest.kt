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

@DisplayName("A content that crashes backend servers")
class RequestCrashTest {
    private val poison = RequestFixtures.arrival(1, content = "poison")

    @Test
    fun `is isolated after two crashes, and its caller is told that it may have run`() {
        val crashed = crashTwice()
        expectThat(crashed.effects.replies()).hasSize(1)
        expectThat(crashed.effects.replies().single()).isA<RequestReply.MayHaveRun>()
    }

    @Test
    fun `is refused as not run when it is sent again`() {
        val again = RequestEvent.Arrived(RequestFixtures.arrival(2, content = "poison"))
        val told = RequestFixtures.run(crashTwice().state, again).effects
        expectThat(told.dispatches()).isEmpty()
        expectThat(told.replies().single()).isA<RequestReply.NotRun>().get { refusal }.isEqualTo(Refusal.ISOLATED)
    }

    @Test
    fun `does not stop other requests of its team`() {
        val other = RequestEvent.Arrived(RequestFixtures.arrival(3, content = "harmless"))
        expectThat(RequestFixtures.run(crashTwice().state, other).effects.dispatches()).hasSize(1)
    }

    @Test
    fun `is released after the isolation has passed`() {
        val later = 10 + RequestFixtures.limits.isolationMilliseconds
        val released = RequestFixtures.run(crashTwice().state, RequestEvent.Ticked, nowMilliseconds = later).state
        val again = RequestEvent.Arrived(RequestFixtures.arrival(4, content = "poison"))
        expectThat(RequestFixtures.run(released, again, nowMilliseconds = later).effects.dispatches()).hasSize(1)
    }

    @Test
    fun `is known from the reports of peers`() {
        val reports =
            arrayOf(RequestEvent.CrashReported("poison", "engine-1"), RequestEvent.CrashReported("poison", "engine-2"))
        val told = RequestFixtures.run(RequestFixtures.book(), *reports, RequestEvent.Arrived(poison)).effects
        expectThat(told.replies()).filterIsInstance<RequestReply.NotRun>().hasSize(1)
    }

    @Nested
    @DisplayName("beside a harmless one")
    inner class Besides {
        @Test
        fun `never shares a backend server with another suspect`() {
            val reports =
                arrayOf<RequestEvent>(
                    RequestEvent.CrashReported("poison", "shop-1"),
                    RequestEvent.CrashReported("other", "shop-1"),
                )
            val other = RequestFixtures.arrival(5, content = "other")
            val events = reports + RequestEvent.Arrived(poison) + RequestEvent.Arrived(other)
            val servers = RequestFixtures
                .run(RequestFixtures.book(), *events)
                .effects
                .dispatches()
                .map { it.server }
            expectThat(servers).hasSize(2)
            expectThat(servers.first()).isNotEqualTo(servers.last())
        }

        @Test
        fun `clears the harmless one once it was answered whole`() {
            val report = RequestEvent.CrashReported("harmless", "shop-1")
            val arrival = RequestEvent.Arrived(RequestFixtures.arrival(6, content = "harmless"))
            val finish = RequestEvent.AttemptFinished(6, 1, "stop", 1)
            val book = RequestFixtures.run(RequestFixtures.book(), report, arrival, finish).state
            expectThat(
                book.crashes.suspects.keys
                    .toList(),
            ).isEmpty()
        }
    }

    @Test
    fun `is not blamed when a failure domain goes`() {
        val configuration = RequestFixtures.configuration
        val inOneDomain =
            configuration.copy(
                pools =
                    configuration.pools.map { pool ->
                        pool.copy(backendServers = pool.backendServers.map { it.copy(failureDomain = "armor-a") })
                    },
            )
        val arrivals = (1L..6L).map { RequestEvent.Arrived(RequestFixtures.arrival(it)) }
        val busy = RequestFixtures.run(RequestFixtures.book(inOneDomain), *arrivals.toTypedArray())
        val cuts =
            busy.effects.dispatches().map {
                RequestEvent.AttemptBroke(it.request, it.attempt, AttemptEnding.CUT, "outage.")
            }
        val after = cuts.fold(busy.state) { book, cut -> RequestFixtures.decide(book, cut, 0).state }
        expectThat(
            after.crashes.suspects.values
                .filter { it.servers.size > 1 },
        ).isEmpty()
        expectThat(
            after.recentCuts.keys
                .toList()
                .sorted(),
        ).containsExactly("engine-1", "engine-2", "engine-3")
    }

    private fun crashTwice(): Transition<RequestBook, RequestEffect> =
        RequestFixtures.run(
            RequestFixtures.book(),
            RequestEvent.Arrived(poison),
            RequestEvent.AttemptBroke(1, 1, AttemptEnding.CUT, "crash."),
            RequestEvent.AttemptBroke(1, 2, AttemptEnding.CUT, "crash."),
        )
}
