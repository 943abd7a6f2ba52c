/**
 * What a shard has ordered and which change comes next. Reductions come before increases; an increase is cut to what
 * the budget leaves if everything ordered so far runs.
 */
package org.mulberrypin.decisions.supply

import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.OrderIntent
import org.mulberrypin.schema.generated.SupplyAmount
import org.mulberrypin.schema.generated.SupplyRecord

/** Where the servers of an amount are. */
public fun SupplyAmount.place(): SupplyPlace = SupplyPlace(pool, failureDomain, reclaimable)

internal fun nextChange(
    record: SupplyRecord,
    target: SupplyTarget,
): SupplyChange? {
    val ordered = record.amounts.associate { it.place() to it.ordered }
    val changes = (ordered.keys + target.wanted.keys)
        .sortedWith(compareBy({ it.pool }, { it.failureDomain }, { it.reclaimable }))
        .map { place -> changeAt(place, record, target) }
        .filter { it.wanted != (ordered[it.place] ?: 0) }
    val reduction = changes.find { it.wanted < (ordered[it.place] ?: 0) }
    return reduction ?: changes.firstNotNullOfOrNull { withinBudget(it, record, target) }
}

private fun changeAt(
    place: SupplyPlace,
    record: SupplyRecord,
    target: SupplyTarget,
): SupplyChange {
    val known = record.amounts.find { it.place() == place }
    val price = target.prices[place] ?: known?.priceCentsPerHour ?: 0
    return SupplyChange(place, target.wanted[place] ?: 0, price)
}

private fun withinBudget(
    change: SupplyChange,
    record: SupplyRecord,
    target: SupplyTarget,
): SupplyChange? {
    val others = record.amounts.filter { it.place() != change.place }.sumOf { it.ordered * it.priceCentsPerHour }
    val before = record.amounts.find { it.place() == change.place }?.ordered ?: 0
    val left = target.budgetCentsPerHour - others
    val unlimited = target.budgetCentsPerHour == 0L || change.priceCentsPerHour == 0L
    val affordable = if (unlimited) change.wanted else (left / change.priceCentsPerHour).toInt()
    return change.copy(wanted = minOf(change.wanted, affordable)).takeIf { it.wanted > before }
}

internal fun intentOf(
    record: SupplyRecord,
    change: SupplyChange,
    lease: LeaseHold,
    expiresWallMilliseconds: Long,
): OrderIntent =
    OrderIntent(
        order = BackendServerOrder(
            name = "${lease.name}/${record.orders + 1}",
            pool = change.place.pool,
            failureDomain = change.place.failureDomain,
            reclaimable = change.place.reclaimable,
            wanted = change.wanted,
            fencingNumber = lease.fencingNumber,
            expiresWallMilliseconds = expiresWallMilliseconds,
        ),
        priceCentsPerHour = change.priceCentsPerHour,
        orderedBefore = record.amounts.find { it.place() == change.place }?.ordered ?: 0,
    )

/** The amounts once the pending order was carried out. */
internal fun amountsAfter(
    record: SupplyRecord,
    pending: OrderIntent,
): List<SupplyAmount> {
    val order = pending.order
    val place = SupplyPlace(order.pool, order.failureDomain, order.reclaimable)
    val others = record.amounts.filter { it.place() != place }
    if (order.wanted == 0) return others
    val amount =
        SupplyAmount(place.pool, place.failureDomain, place.reclaimable, order.wanted, pending.priceCentsPerHour)
    return others + amount
}
