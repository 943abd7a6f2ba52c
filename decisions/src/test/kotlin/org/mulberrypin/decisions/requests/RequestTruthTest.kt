package org.mulberrypin.decisions.requests

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/**
 * Random interleavings of arrivals, parts, endings of every kind, callers that leave, withdrawn keys, preemption and
 * time. The backend servers of the test know what they ran, so every reply can be checked against the truth.
 */
@OptIn(ExperimentalKotest::class)
@DisplayName("Replies to callers under random failures")
class RequestTruthTest {
    @Test
    fun `a refusal as not run is true`() =
        forRandomHistories { history ->
            val toldNotRun = history.finalReplies.filterValues { it is RequestReply.NotRun }.keys
            expectThat(toldNotRun.filter { it in history.ran }).isEmpty()
        }

    @Test
    fun `a request that must not be repeated runs at most once`() =
        forRandomHistories { history ->
            val plain = history.ran.filterKeys { it in history.notRepeatable }
            expectThat(plain.values.toList()).all { isLessThanOrEqualTo(1) }
        }

    @Test
    fun `every request gets exactly one final reply unless its caller left`() =
        forRandomHistories { history ->
            val answered = history.finalReplyCounts
            expectThat(answered.values.toList()).all { isEqualTo(1) }
            expectThat(history.arrived - answered.keys - history.left).isEmpty()
        }

    @Test
    fun `a whole answer names every token once, with the version that produced it`() =
        forRandomHistories { history ->
            history.finalReplies.forEach { (request, reply) ->
                if (reply is RequestReply.Finished && request !in history.notRepeatable) {
                    expectThat(reply.spans).isEqualTo(history.spansTold(request))
                }
            }
        }

    @Test
    fun `an answer is whole only if its own attempt ended properly`() =
        forRandomHistories { history ->
            val whole = history.finalReplies.filterValues { it is RequestReply.Finished }.keys
            expectThat(whole - history.endedProperly).isEmpty()
        }

    @Test
    fun `counts of running requests return to zero`() =
        forRandomHistories { history ->
            expectThat(
                history.book.servers.values
                    .map { it.running },
            ).all { isEqualTo(0) }
            expectThat(history.book.underWay).isEmpty()
            expectThat(history.book.queues).isEmpty()
        }

    private fun forRandomHistories(check: (RequestHistory) -> Unit) =
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = HISTORIES), Arb.long()) { seed ->
                check(RequestHistory(Random(seed)).apply { play() })
            }
            Unit
        }

    private companion object {
        private const val SEED = 20_261_204L
        private const val HISTORIES = 300
    }
}
