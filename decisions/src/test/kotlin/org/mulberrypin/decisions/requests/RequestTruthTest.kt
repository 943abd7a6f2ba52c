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
 * Property tests over random interleavings of arrivals, chunks, failures of each kind, caller disconnects, withdrawn
 * keys, preemption and timeouts. The simulated backend servers record what they ran, so that each reply can be checked
 * against the actual executions.
 */
@OptIn(ExperimentalKotest::class)
@DisplayName("Replies to callers under random failures")
class RequestTruthTest {
    @Test
    fun `a request that gets a not-run reply never ran`() =
        checkRandomHistories { history ->
            val repliedNotRun = history.finalReplies.filterValues { it is RequestReply.NotRun }.keys
            expectThat(repliedNotRun.filter { it in history.executionCounts }).isEmpty()
        }

    @Test
    fun `a non-repeatable request runs at most once`() =
        checkRandomHistories { history ->
            val nonRepeatableCounts = history.executionCounts.filterKeys { it in history.nonRepeatable }
            expectThat(nonRepeatableCounts.values.toList()).all { isLessThanOrEqualTo(1) }
        }

    @Test
    fun `every request gets exactly one final reply unless its caller disconnected`() =
        checkRandomHistories { history ->
            val replyCounts = history.finalReplyCounts
            expectThat(replyCounts.values.toList()).all { isEqualTo(1) }
            expectThat(history.arrived - replyCounts.keys - history.disconnected).isEmpty()
        }

    @Test
    fun `a complete response lists each token once, with the weight version that produced it`() =
        checkRandomHistories { history ->
            history.finalReplies.forEach { (request, reply) ->
                if (reply is RequestReply.Finished && request !in history.nonRepeatable) {
                    expectThat(reply.spans).isEqualTo(history.deliveredSpans(request))
                }
            }
        }

    @Test
    fun `a response is complete only if an attempt of its request completed`() =
        checkRandomHistories { history ->
            val finishedRequests = history.finalReplies.filterValues { it is RequestReply.Finished }.keys
            expectThat(finishedRequests - history.completed).isEmpty()
        }

    @Test
    fun `all counters return to zero and all queues are empty`() =
        checkRandomHistories { history ->
            expectThat(
                history.state.servers.values
                    .map { it.running },
            ).all { isEqualTo(0) }
            expectThat(history.state.inFlightByTeam).isEmpty()
            expectThat(history.state.queues).isEmpty()
        }

    private fun checkRandomHistories(check: (RequestHistory) -> Unit) =
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = HISTORY_COUNT), Arb.long()) { seed ->
                check(RequestHistory(Random(seed)).apply { run() })
            }
            Unit
        }

    private companion object {
        private const val SEED = 20_261_204L
        private const val HISTORY_COUNT = 300
    }
}
