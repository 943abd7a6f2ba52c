package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.division.DividedPool
import org.mulberrypin.decisions.division.DivisionEffect
import org.mulberrypin.decisions.division.DivisionEvent
import org.mulberrypin.decisions.division.DivisionRow
import org.mulberrypin.decisions.division.DivisionState
import org.mulberrypin.decisions.division.SmoothedDemand
import org.mulberrypin.decisions.division.decideDivision
import org.mulberrypin.decisions.division.sharesByPool
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.platform.deployment.RowCondition
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.RowWrite
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.platform.deployment.readAllRows
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.InstanceHeartbeat
import org.mulberrypin.schema.generated.PoolDivision
import org.mulberrypin.schema.generated.ServingPool

/**
 * Dependencies of the division manager.
 *
 * @property currentHold returns the lease of the singleton duties while this instance holds it, otherwise null
 * @property onEvent queues an event for the control thread
 * @property onShares called with the shares of the models in thousandths, by pool, whenever they change
 * @property gauges shows the division in force to an operator
 */
internal data class DivisionPorts(
    val store: RowStore,
    val clock: ServiceClock,
    val log: DecisionLog,
    val currentHold: () -> HeldLease?,
    val onEvent: (DivisionEvent) -> Unit,
    val onShares: (Map<String, Map<String, Int>>) -> Unit,
    val gauges: DivisionGauges,
)

/**
 * Follows the division of engines among models in the store and, while this instance holds the lease, decides it. All
 * functions run on the thread of the control duty.
 */
internal class DivisionManager(
    private val ports: DivisionPorts,
) {
    private var state = DivisionState()
    private var nextReadMilliseconds = 0L
    private var runsJobs = false

    /** Shares of the models in the engines of a pool, in thousandths, by pool. */
    val shares: Map<String, Map<String, Int>>
        get() = state.sharesByPool()

    /** Smoothed demand of all instances, by model. */
    val demand: Map<String, SmoothedDemand>
        get() = state.demand

    fun handle(event: DivisionEvent) {
        val transition = decideDivision(state, event, ports.clock.readMilliseconds())
        state = transition.state
        transition.effects.forEach(::perform)
    }

    /** Applies the lists of pools and engines; pools without models are plain services. */
    fun updateLists(
        pools: List<ServingPool>,
        engines: List<BackendServerEntry>,
    ) = handle(
        DivisionEvent.PoolsChanged(
            pools
                .filter { it.models.isNotEmpty() }
                .map { pool ->
                    DividedPool(pool.name, pool.models, engines.count { it.pool == pool.name && !it.leaving })
                },
        ),
    )

    fun readDemand(live: List<InstanceHeartbeat>) {
        handle(DivisionEvent.DemandRead(live.associate { it.name to it.demands }))
        ports.gauges.showDemand(state.demand)
    }

    /** Reads the divisions while this instance decides them, or chooses engines for tasks since it [runsJobs]. */
    fun tick(runsJobs: Boolean) {
        val hold = ports.currentHold()
        val now = ports.clock.readMilliseconds()
        // What another holder decided meanwhile is read before the first decision or choice of an engine.
        if (runsJobs && !this.runsJobs) nextReadMilliseconds = now
        this.runsJobs = runsJobs
        if ((hold != null || runsJobs) && now >= nextReadMilliseconds) {
            nextReadMilliseconds = now + READ_INTERVAL_MILLISECONDS
            readRows()
        }
        handle(DivisionEvent.Tick(hold?.fencingNumber))
    }

    private fun perform(effect: DivisionEffect) {
        when (effect) {
            is DivisionEffect.Write -> {
                write(effect)
            }

            is DivisionEffect.Announce -> {
                ports.gauges.showShares(effect.shares)
                ports.onShares(effect.shares)
            }

            is DivisionEffect.Explain -> {
                ports.log.write(
                    SOURCE,
                    effect.subject,
                    effect.decision,
                    inputs = effect.inputs,
                )
            }
        }
    }

    private fun readRows() =
        ports.store.readAllRows(RowRange(StoreTables.DIVISION, "")) { outcome ->
            when (outcome) {
                is Outcome.Failure -> ports.log.write(
                    SOURCE,
                    StoreTables.DIVISION,
                    "divisions not read",
                    "store",
                    outcome.fault.toString(),
                )

                is Outcome.Success -> ports.onEvent(DivisionEvent.RowsRead(outcome.value.mapNotNull(::decode)))
            }
        }

    private fun decode(row: StoredRow): DivisionRow? =
        ports.log
            .decodeRecord(row, PoolDivision.serializer())
            ?.takeIf { it.pool == row.key }
            ?.let { DivisionRow(it, row.version) }

    private fun write(effect: DivisionEffect.Write) {
        val pool = effect.division.pool
        val value = recordJson.encodeToString(PoolDivision.serializer(), effect.division)
        val transaction = RowTransaction(
            conditions = listOf(RowCondition(StoreTables.DIVISION, "", pool, effect.expectedVersion)),
            writes = listOf(RowWrite(StoreTables.DIVISION, "", pool, value)),
        )
        ports.store.transact(transaction) { outcome ->
            ports.onEvent(
                when (outcome) {
                    is Outcome.Failure -> DivisionEvent.WriteFailed(pool, outcome.fault.toString())
                    is Outcome.Success -> writtenEvent(effect.division, outcome.value)
                },
            )
        }
    }

    private fun writtenEvent(
        division: PoolDivision,
        result: TransactionResult,
    ): DivisionEvent =
        when (result) {
            is TransactionResult.Applied -> DivisionEvent.RowsRead(listOf(DivisionRow(division, result.version)))
            is TransactionResult.Conflict -> DivisionEvent.RowsRead(result.rows.mapNotNull(::decode))
        }

    private companion object {
        private const val SOURCE = "division"

        /** Interval between reads of the divisions, in milliseconds. */
        private const val READ_INTERVAL_MILLISECONDS = 1_000L
    }
}
