/**
 * Computes the next change to the ordered amounts of a shard. Reductions come before increases; an increase is limited
 * to the budget that remains if all servers ordered so far are running.
 */
package org.mulberrypin.decisions.supply

import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.OrderIntent
import org.mulberrypin.schema.generated.SupplyAmount
import org.mulberrypin.schema.generated.SupplyRecord

/** The group of the servers of an amount. */
public fun SupplyAmount.group(): ServerGroup = ServerGroup(pool, failureDomain, reclaimable)

internal fun nextChange(
    record: SupplyRecord,
    target: SupplyTarget,
): SupplyChange? {
    val ordered = record.amounts.associate { it.group() to it.ordered }
    val changes = (ordered.keys + target.wanted.keys)
        .sortedWith(compareBy({ it.pool }, { it.failureDomain }, { it.reclaimable }))
        .map { group -> changeAt(group, record, target) }
        .filter { it.wanted != (ordered[it.group] ?: 0) }
    val reduction = changes.find { it.wanted < (ordered[it.group] ?: 0) }
    return reduction ?: changes.firstNotNullOfOrNull { affordableChange(it, record, target) }
}

private fun changeAt(
    group: ServerGroup,
    record: SupplyRecord,
    target: SupplyTarget,
): SupplyChange {
    val currentAmount = record.amounts.find { it.group() == group }
    val priceCentsPerHour = target.prices[group] ?: currentAmount?.priceCentsPerHour ?: 0
    return SupplyChange(group, target.wanted[group] ?: 0, priceCentsPerHour)
}

private fun affordableChange(
    change: SupplyChange,
    record: SupplyRecord,
    target: SupplyTarget,
): SupplyChange? {
    val othersCentsPerHour = record.amounts
        .filter { it.group() != change.group }
        .sumOf { it.ordered * it.priceCentsPerHour }
    val orderedBefore = record.amounts.find { it.group() == change.group }?.ordered ?: 0
    val remainingCentsPerHour = target.budgetCentsPerHour - othersCentsPerHour
    val unlimited = target.budgetCentsPerHour == 0L || change.priceCentsPerHour == 0L
    val affordable = if (unlimited) change.wanted else (remainingCentsPerHour / change.priceCentsPerHour).toInt()
    return change.copy(wanted = minOf(change.wanted, affordable)).takeIf { it.wanted > orderedBefore }
}

internal fun createIntent(
    record: SupplyRecord,
    change: SupplyChange,
    lease: HeldLease,
    expiresWallMilliseconds: Long,
): OrderIntent =
    OrderIntent(
        order = BackendServerOrder(
            name = "${lease.name}/${record.orders + 1}",
            pool = change.group.pool,
            failureDomain = change.group.failureDomain,
            reclaimable = change.group.reclaimable,
            wanted = change.wanted,
            fencingNumber = lease.fencingNumber,
            expiresWallMilliseconds = expiresWallMilliseconds,
        ),
        priceCentsPerHour = change.priceCentsPerHour,
        orderedBefore = record.amounts.find { it.group() == change.group }?.ordered ?: 0,
    )

/** The ordered amounts after the execution of the pending order. */
internal fun amountsAfter(
    record: SupplyRecord,
    pending: OrderIntent,
): List<SupplyAmount> {
    val order = pending.order
    val group = ServerGroup(order.pool, order.failureDomain, order.reclaimable)
    val others = record.amounts.filter { it.group() != group }
    if (order.wanted == 0) return others
    val amount =
        SupplyAmount(group.pool, group.failureDomain, group.reclaimable, order.wanted, pending.priceCentsPerHour)
    return others + amount
}
