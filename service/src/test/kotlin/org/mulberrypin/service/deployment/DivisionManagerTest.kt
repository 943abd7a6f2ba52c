package org.mulberrypin.service.deployment

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.division.DivisionEvent
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.manualClock
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.InstanceHeartbeat
import org.mulberrypin.schema.generated.ModelDemand
import org.mulberrypin.schema.generated.ServingPool
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

/** Two holders one after the other, with a store that loses answers or is away. */
class DivisionManagerTest {
    private val testClock = manualClock(startMilliseconds = 500_000)
    private val log = startDecisionLog("entry-1", testClock.clock)
    private var row: StoredRow? = null
    private var losesAnswers = false
    private var isAway = false
    private val away = Outcome.Failure(Fault("store", "store", FaultKind.UNKNOWN, "test"))

    @AfterEach
    fun stopLog() = log.stop()

    @Test
    fun `the next holder goes on with the division of a holder that never got the answer to its write`() {
        losesAnswers = true
        val first = manager(token = 1)
        run(first, seconds = 9, mapOf("a" to 300.0, "b" to 900.0))
        expectThat(row).describedAs("the write took effect").isEqualTo(row?.copy(version = 1))
        losesAnswers = false
        val next = manager(token = 2)
        run(next, seconds = 9, mapOf("a" to 300.0, "b" to 900.0))
        expectThat(next.shares).isEqualTo(mapOf("engines" to mapOf("a" to 250, "b" to 750)))
        expectThat(row?.version).describedAs("writes").isEqualTo(1)
    }

    @Test
    fun `the last known division stays while the store is away, and follows the demand when it is back`() {
        val holder = manager(token = 1)
        run(holder, seconds = 9, mapOf("a" to 300.0, "b" to 900.0))
        val before = holder.shares
        isAway = true
        run(holder, seconds = 30, mapOf("a" to 900.0, "b" to 300.0))
        expectThat(holder.shares).isNotEmpty().isEqualTo(before)
        isAway = false
        run(holder, seconds = 12, mapOf("a" to 900.0, "b" to 300.0))
        expectThat(
            holder.shares
                .getValue("engines")
                .entries
                .maxBy { it.value }
                .key,
        ).isEqualTo("a")
    }

    @Test
    fun `a row of another writer is left out`() {
        row = StoredRow(StoreTables.DIVISION, "", "engines", "[[[", 5)
        val holder = manager(token = 1)
        run(holder, seconds = 3, emptyMap())
        expectThat(holder.shares).isEmpty()
    }

    /** Two heartbeats and reads a second; heartbeats are not read while the store is away. */
    private fun run(
        manager: DivisionManager,
        seconds: Int,
        demand: Map<String, Double>,
    ) = repeat(seconds * 2) {
        testClock.advance(500)
        val demands = demand.map { (model, rate) -> ModelDemand(model, tokensPerSecond = rate) }
        if (!isAway) manager.readDemand(listOf(InstanceHeartbeat("entry-2", demands = demands)))
        manager.tick(runsJobs = false)
    }

    private fun manager(token: Long): DivisionManager {
        lateinit var manager: DivisionManager
        val hold = HeldLease("control", token, Long.MAX_VALUE, 0, 1)
        val handle = { event: DivisionEvent -> manager.handle(event) }
        val gauges = divisionGauges(SimpleMeterRegistry())
        manager = DivisionManager(DivisionPorts(store, testClock.clock, log, { hold }, handle, {}, gauges))
        val engines = (1..12).map { BackendServerEntry("engine-$it", pool = "engines") }
        manager.updateLists(listOf(ServingPool("engines", listOf("a", "b"))), engines)
        return manager
    }

    private val store = RowStore(
        transact = { transaction, callback ->
            val condition = transaction.conditions.single()
            val write = transaction.writes.single()
            val holds = (row?.version ?: 0) == condition.version
            if (holds && !isAway) {
                row = StoredRow(write.table, write.partition, write.key, write.value, condition.version + 1)
            }
            when {
                isAway || losesAnswers -> callback(away)
                holds -> callback(Outcome.Success(TransactionResult.Applied(condition.version + 1)))
                else -> callback(Outcome.Success(TransactionResult.Conflict(listOfNotNull(row))))
            }
        },
        readRows = { _, callback ->
            if (isAway) callback(away) else callback(Outcome.Success(RowPage(listOfNotNull(row), false, 1)))
        },
        pollFeed = { _, _ -> },
        putObject = { _, _, _ -> },
        readObject = { _, _ -> },
        deleteObject = { _, _ -> },
    )
}
