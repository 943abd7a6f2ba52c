package org.mulberrypin.decisions.ordering

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Load: several trainers whose jobs always have more tasks than the slots that come free, one every 20 ms. */
@OptIn(ExperimentalKotest::class)
class WorkSharesTest {
    @Test
    fun `flows of equal rank get equal work, however long their tasks are`() {
        runBlocking {
            checkAll(config, Arb.list(Arb.long(1L..200L), 2..5)) { lengths ->
                val flows = lengths.indices.map { WaitingFlow("flow-$it", 1, GroupStanding.COUNTS) }
                val work = LongArray(flows.size)
                serve(flows, slots = 1_000) { flow ->
                    lengths[flow].also { work[flow] += it }
                }
                // Start-time fair queueing keeps two flows that always wait within a task of each.
                expectThat(work.max() - work.min()).isLessThanOrEqualTo(2 * lengths.max())
            }
        }
    }

    @Test
    fun `no flow starves, whatever the ranks and standings of the others`() {
        runBlocking {
            val flow = Arb.int(Int.MIN_VALUE..Int.MAX_VALUE)
            checkAll(config, Arb.list(flow, 2..8), Arb.enum<GroupStanding>()) { ranks, standing ->
                val flows = ranks.withIndex().map { (index, rank) -> WaitingFlow("flow-$index", rank, standing) }
                val served = LongArray(flows.size)
                var longest = 0L
                serve(flows, slots = 500) { index ->
                    val now = nowMilliseconds
                    longest = maxOf(longest, now - served[index])
                    served[index] = now
                    1L
                }
                val unserved = served.maxOf { nowMilliseconds - it }
                expectThat(maxOf(longest, unserved)).isLessThanOrEqualTo(1_000L + 4 * SLOT_MILLISECONDS * flows.size)
            }
        }
    }

    @Test
    fun `flows that are overdue take no more than every fourth slot`() {
        val overdue = (1..50).map { WaitingFlow("overdue-$it", 9, GroupStanding.COUNTS) }
        val served = IntArray(51)
        serve(overdue + WaitingFlow("best", 0, GroupStanding.COUNTS), slots = 1_000) {
            served[it] += 1
            1L
        }
        expectThat(served.last()).isGreaterThanOrEqualTo(750)
    }

    @Test
    fun `a better rank goes first, then a group that counts`() {
        val shares = WorkShares().served("first", 1_000)
        val first = WaitingFlow("first", 0, GroupStanding.SPARE)
        val second = WaitingFlow("second", 3, GroupStanding.COUNTS)
        expectThat(shares.nextFlow(listOf(second, first), 0)?.flow).isEqualTo("first")
        val counting = first.copy(flow = "third", standing = GroupStanding.COUNTS)
        expectThat(shares.nextFlow(listOf(first, second, counting), 0)?.flow).isEqualTo("third")
    }

    @Test
    fun `a flow that was idle gets no credit for it`() {
        var shares = WorkShares()
        repeat(10) { shares = shares.served("busy", 100) }
        shares = shares.served("back", 100).served("back", 100)
        val flows = listOf("busy", "back").map { WaitingFlow(it, 0, GroupStanding.COUNTS) }
        expectThat(shares.nextFlow(flows, 0)?.flow).isEqualTo("busy")
    }

    private var nowMilliseconds = 0L

    private fun serve(
        flows: List<WaitingFlow>,
        slots: Int,
        tokensOf: (Int) -> Long,
    ) {
        nowMilliseconds = 0
        val names = flows.mapTo(HashSet()) { it.flow }
        var shares = WorkShares()
        repeat(slots) {
            nowMilliseconds += SLOT_MILLISECONDS
            shares = shares.withWaiting(names, names, nowMilliseconds)
            val turn = shares.nextFlow(flows, nowMilliseconds) ?: error("a flow waits")
            val index = flows.indexOfFirst { it.flow == turn.flow }
            shares = shares.withServed(turn, tokensOf(index), nowMilliseconds)
        }
    }

    private fun WorkShares.served(
        flow: String,
        events: Long,
    ): WorkShares = withServed(FlowTurn(flow, isOverdue = false), events, nowMilliseconds = 0)

    private companion object {
        private const val SLOT_MILLISECONDS = 20L
        private val config = PropTestConfig(seed = 33, iterations = 60)
    }
}
