package org.mulberrypin.decisions.leases

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Load pattern: many instances that start together contend for one lease, and its holder dies again and again. */
class ManyContendersTest {
    @Test
    fun `a lease is never free for longer than its duration and a second`() {
        listOf(2, 12, 30, 82, 300).forEach { count ->
            val run = ContenderRun(count, Random(count)).apply { playUntil(60_000, killEachMilliseconds = 7_000) }
            expectThat(run.longestGapMilliseconds).describedAs("$count instances").isLessThanOrEqualTo(4_000L)
            expectThat(run.kills).isGreaterThanOrEqualTo(if (count > 2) 5 else 1)
        }
    }

    @Test
    fun `the calls of one instance fall with the number of instances`() {
        val callsPerSecond = listOf(2, 12, 30, 82, 300).map { count ->
            val run = ContenderRun(count, Random(count)).apply { playUntil(60_000, killEachMilliseconds = null) }
            run.calls / 60.0 / count
        }
        expectThat(callsPerSecond[3]).isLessThan(0.5)
        expectThat(callsPerSecond[4]).isLessThan(0.5)
    }
}

/** Contenders that tick each 250 ms and get the store's answer within the tick. */
private class ContenderRun(
    count: Int,
    private val random: Random,
) {
    private val contenders = (1..count).associateWithTo(sortedMapOf()) { contender(it, count) }
    private val firstTick = contenders.mapValues { random.nextLong(300) }
    private var row = LeaseRow(0, null)
    private var heldMilliseconds = 0L
    var longestGapMilliseconds = 0L
    var calls = 0
    var kills = 0

    fun playUntil(
        endMilliseconds: Long,
        killEachMilliseconds: Long?,
    ) {
        for (now in 0L..endMilliseconds step STEP_MILLISECONDS) {
            contenders.keys.filter { isTick(it, now) }.forEach { tick(it, now) }
            val holder = contenders.entries.firstOrNull { (_, state) -> state.hold?.allowsOperation(now, 0) ?: false }
            if (holder != null) heldMilliseconds = now
            longestGapMilliseconds = maxOf(longestGapMilliseconds, now - heldMilliseconds)
            val isKill = killEachMilliseconds != null && now % killEachMilliseconds == killEachMilliseconds - 10
            if (isKill && holder != null && contenders.size > 1) {
                kills++
                contenders.remove(holder.key)
            }
        }
    }

    private fun isTick(
        number: Int,
        now: Long,
    ): Boolean = (now - firstTick.getValue(number) / STEP_MILLISECONDS * STEP_MILLISECONDS) % TICK_MILLISECONDS == 0L

    private fun tick(
        number: Int,
        now: Long,
    ) {
        val transition = decideLease(contenders.getValue(number), LeaseEvent.Tick, now)
        contenders[number] = transition.effects.fold(transition.state) { state, effect ->
            val answer = answer(effect) ?: return@fold state
            calls++
            decideLease(state, answer, now).state
        }
    }

    private fun answer(effect: LeaseEffect): LeaseEvent? =
        when (effect) {
            is LeaseEffect.ReadRow -> LeaseEvent.RowRead(effect.attempt, row)

            is LeaseEffect.WriteRow -> if (effect.expectedVersion == row.version) {
                row = LeaseRow(row.version + 1, effect.record)
                LeaseEvent.Written(effect.attempt)
            } else {
                LeaseEvent.WriteConflicted(effect.attempt, row)
            }

            is LeaseEffect.Acquired, is LeaseEffect.Lost -> null
        }

    private fun contender(
        number: Int,
        count: Int,
    ): LeaseState {
        val parameters = LeaseParameters(
            name = "control",
            candidate = "instance-$number",
            incarnation = 1,
            durationMilliseconds = 3_000,
            renewalMilliseconds = 750,
            clockRateBound = 0.01,
            responseTimeoutMilliseconds = 1_000,
            acquisitionDelayMilliseconds = random.nextLong(400),
            phaseMilliseconds = random.nextLong(3_000),
        )
        return decideLease(LeaseState(parameters), LeaseEvent.ContendersCounted(count), 0).state
    }

    private companion object {
        private const val STEP_MILLISECONDS = 10L
        private const val TICK_MILLISECONDS = 250L
    }
}
