package org.mulberrypin.service.supply

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.leases.allowsOperation
import org.mulberrypin.decisions.supply.OrderEffect
import org.mulberrypin.decisions.supply.OrderEvent
import org.mulberrypin.decisions.supply.OrderTimeLimits
import org.mulberrypin.decisions.supply.SupplyRow
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.BackendServerOrderAnswer
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.schema.generated.SupplyRecord
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCondition
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.TableWrite
import org.mulberrypin.service.EntryContext

/** Executes the blocking calls of ordering: to the table service and to the platform's order interface. */
internal class SupplyPlatform(
    private val context: EntryContext,
    private val currentLease: (String) -> HeldLease?,
    private val shard: String,
    private val onAnswer: (SupplyEvent) -> Unit,
) {
    private val key = "supply/$shard"
    private val limits = orderTimeLimitsOf(context.settings, shard)

    fun execute(operation: SupplyOperation) {
        val event = when (val effect = operation.effect) {
            is OrderEffect.Load -> load(effect)
            is OrderEffect.Write -> write(effect)
            is OrderEffect.Send -> answerEvent(effect.attempt, send(effect.order))
            is OrderEffect.QueryOrder -> answerEvent(effect.attempt, context.platform.orders.findState(effect.name))
        }
        onAnswer(SupplyEvent.Answer(event ?: OrderEvent.Failed(operation.effect.attempt)))
    }

    private fun load(effect: OrderEffect.Load): OrderEvent? {
        val rows = context.platform.tables.read(listOf(key)) as? Outcome.Success ?: return null
        val row = rows.value.firstOrNull { it.version > 0 }
        return supplyRow(row)?.let { OrderEvent.Loaded(effect.attempt, it) }
    }

    private fun supplyRow(row: TableRow?): SupplyRow? {
        if (row == null) return SupplyRow(0, SupplyRecord(shard = shard))
        val record = parseWireJson(row.value, SupplyRecord.serializer(), "read supply", key)
        return (record.map { SupplyRow(row.version, it) } as? Outcome.Success)?.value
    }

    private fun write(effect: OrderEffect.Write): OrderEvent? {
        val commit = TableCommit(
            conditions = listOf(
                TableCondition(effect.lease.name, effect.lease.rowVersion),
                TableCondition(key, effect.row.version),
            ),
            writes = listOf(TableWrite(key, wireJson.encodeToString(SupplyRecord.serializer(), effect.row.record))),
        )
        val outcome = context.platform.tables.commit(commit)
        val committed = outcome is Outcome.Success && outcome.value.committed
        return if (committed) OrderEvent.Written(effect.attempt) else null
    }

    /** Checks the lease immediately before the call, so that an order is not sent long after the lease has expired. */
    private fun send(order: BackendServerOrder): Outcome<BackendServerOrderAnswer>? {
        val hold = currentLease(orderLease(shard))?.takeIf { it.fencingNumber == order.fencingNumber } ?: return null
        if (!hold.allowsOperation(context.clock.readMilliseconds(), limits.sendTimeoutMilliseconds)) return null
        val outcome = context.platform.orders.send(order)
        explain(order, outcome)
        return outcome
    }

    private fun answerEvent(
        attempt: Long,
        outcome: Outcome<BackendServerOrderAnswer?>?,
    ): OrderEvent? =
        (outcome as? Outcome.Success)?.let {
            OrderEvent.ResponseReceived(attempt, it.value, context.clock.readWallMilliseconds())
        }

    private fun explain(
        order: BackendServerOrder,
        outcome: Outcome<BackendServerOrderAnswer>,
    ) {
        val reason = when (outcome) {
            is Outcome.Success -> if (outcome.value.accepted) "Accepted." else "Refused: ${outcome.value.reason}"
            is Outcome.Failure -> "No response: ${outcome.fault}"
        }
        logger.info("Order {} of {} in {}: {}", order.name, order.wanted, order.failureDomain, reason)
        context.explain(
            Explanation(
                wallMilliseconds = context.clock.readWallMilliseconds(),
                instance = context.settings.instance.name,
                subject = "order",
                name = order.name,
                step = "send order",
                peer = context.settings.platform.ordersAddress,
                reason = "${order.wanted} in ${order.pool}, ${order.failureDomain}. $reason",
            ),
        )
    }

    private companion object {
        private val logger = LogManager.getLogger("supply")
    }
}

internal fun orderTimeLimitsOf(
    settings: EntrySettings,
    shard: String,
): OrderTimeLimits =
    OrderTimeLimits(
        shard = shard,
        sendTimeoutMilliseconds = settings.platform.timeoutMilliseconds,
        wallDifferenceMilliseconds = MAX_WALL_CLOCK_DIFFERENCE_MILLISECONDS,
        clockRateBound = settings.leases.clockRateBound,
    )

/** Tolerated difference between the wall clocks of an instance and of the platform. */
private const val MAX_WALL_CLOCK_DIFFERENCE_MILLISECONDS = 2_000L
