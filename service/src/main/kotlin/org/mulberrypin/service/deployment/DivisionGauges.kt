package org.mulberrypin.service.deployment

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tags
import org.mulberrypin.decisions.division.SmoothedDemand
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Gauges of the division of engines among models and of their supply.
 *
 * @property showShares shows the shares in force in thousandths, by pool and model
 * @property showDemand shows the smoothed demand, by model
 * @property showCapacity shows the numbers of engines of a pool that should serve and that serve
 */
internal data class DivisionGauges(
    val showShares: (Map<String, Map<String, Int>>) -> Unit,
    val showDemand: (Map<String, SmoothedDemand>) -> Unit,
    val showCapacity: (pool: String, expected: Int, serving: Int) -> Unit,
)

/** Registers the gauges of the division; each appears with its first value. */
internal fun divisionGauges(registry: MeterRegistry): DivisionGauges {
    val values = ConcurrentHashMap<String, AtomicInteger>()

    fun show(
        name: String,
        tags: Tags,
        value: Int,
    ) = values.computeIfAbsent("$name$tags") { registry.gauge(name, tags, AtomicInteger()) }.set(value)
    return DivisionGauges(
        showShares = { pools ->
            pools.forEach { (pool, shares) ->
                shares.forEach { (model, share) ->
                    show("mulberrypin_division_thousandths", Tags.of("pool", pool, "model", model), share)
                }
            }
        },
        showDemand = { models ->
            models.forEach { (model, demand) ->
                show("mulberrypin_demand_tokens_per_second", Tags.of("model", model), demand.work.toInt())
            }
        },
        showCapacity = { pool, expected, serving ->
            show("mulberrypin_engines_expected", Tags.of("pool", pool), expected)
            show("mulberrypin_engines_serving", Tags.of("pool", pool), serving)
        },
    )
}
