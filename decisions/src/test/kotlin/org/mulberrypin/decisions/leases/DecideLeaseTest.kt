package org.mulberrypin.decisions.leases

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.LeaseRecord
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.single
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
@DisplayName("A lease")
class DecideLeaseTest {
    @Nested
    @DisplayName("under pauses, outages, lost responses and different clock rates")
    inner class UnderFailures {
        @Test
        fun `is never relied on by two processes at the same time`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 71, iterations = 300), Arb.long()) { seed ->
                    val simulation = LeaseSimulation(Random(seed), processes = 3)
                    repeat(400) {
                        simulation.step { expectThat(simulation.holders().size).isLessThanOrEqualTo(1) }
                    }
                }
            }
        }

        @Test
        fun `gives each holder a larger fencing number`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 72, iterations = 200), Arb.long()) { seed ->
                    val simulation = LeaseSimulation(Random(seed), processes = 3)
                    repeat(400) { simulation.step {} }
                    val numbers = simulation.fencingNumbers
                    expectThat(numbers.toSet()).hasSize(numbers.size)
                }
            }
        }

        @Test
        fun `is taken in bounded time by the remaining candidate after the holders stop`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 73, iterations = 200), Arb.long()) { seed ->
                    val simulation = LeaseSimulation(Random(seed), processes = 3, faults = false)
                    repeat(60) { simulation.step {} }
                    val stopped = simulation.holders().ifEmpty { simulation.processes.take(1) }
                    stopped.forEach { it.pausedUntil = Long.MAX_VALUE }
                    val bound = simulation.trueMilliseconds + 9_000 * 2 + 3_000
                    while (simulation.trueMilliseconds < bound) simulation.step {}
                    expectThat((simulation.holders() - stopped.toSet())).hasSize(1)
                }
            }
        }
    }

    @Nested
    @DisplayName("of a restarted process")
    inner class RestartedProcess {
        private val parameters = SimulatedProcess(
            1,
            clockRate = 1.0,
            random = Random(1),
        ).state.parameters.copy(incarnation = 2)

        @Test
        fun `is taken at once with a larger fencing number`() {
            val write = firstWrite(leaseRecord("instance-1", 4))
            expectThat(write?.record?.fencingNumber).isEqualTo(5)
            expectThat(write?.expectedVersion).isEqualTo(7)
        }

        @Test
        fun `is not taken while it names another candidate`() {
            expectThat(firstWrite(leaseRecord("instance-2", 4))).isNull()
        }

        private fun firstWrite(record: LeaseRecord): LeaseEffect.WriteRow? {
            val reading = decideLease(LeaseState(parameters), LeaseEvent.Tick, 0).state
            val read = decideLease(reading, LeaseEvent.RowRead(1, LeaseRow(7, record)), 10).state
            return decideLease(
                read,
                LeaseEvent.Tick,
                20,
            ).effects.filterIsInstance<LeaseEffect.WriteRow>().singleOrNull()
        }
    }

    @Nested
    @DisplayName("whose write got no response")
    inner class LostResponse {
        private val parameters = SimulatedProcess(1, clockRate = 1.0, random = Random(1)).state.parameters

        private fun stateWithPendingWrite(): LeaseState {
            val reading = decideLease(LeaseState(parameters), LeaseEvent.Tick, 0).state
            val read = decideLease(reading, LeaseEvent.RowRead(1, LeaseRow(0, null)), 10).state
            return decideLease(read, LeaseEvent.Tick, 1_000).state
        }

        @Test
        fun `is read first and its deadline counts from the time the write was sent`() {
            val unresolved = decideLease(stateWithPendingWrite(), LeaseEvent.WriteUnknown(2), 2_000).state
            val reread = decideLease(unresolved, LeaseEvent.Tick, 2_000)
            expectThat(reread.effects).single().isA<LeaseEffect.ReadRow>()
            val own = leaseRecord("instance-1", 1).copy(renewals = 2)
            val observed = decideLease(reread.state, LeaseEvent.RowRead(3, LeaseRow(1, own)), 2_100).state
            expectThat(observed.hold?.deadlineMilliseconds).isEqualTo(1_000 + parameters.validityMilliseconds)
        }

        @Test
        fun `is not relied on after a release`() {
            val released = decideLease(stateWithPendingWrite(), LeaseEvent.Release, 1_100).state
            val written = decideLease(released, LeaseEvent.Written(2), 1_200).state
            expectThat(written.hold).isNull()
            val releasing = decideLease(written, LeaseEvent.Tick, 1_300).effects
            expectThat(releasing)
                .single()
                .isA<LeaseEffect.WriteRow>()
                .get { record.released }
                .isEqualTo(true)
        }
    }
}
