/** Derives whole numbers of engines from the shares of a pool's models; every instance comes to the same result. */
package org.mulberrypin.decisions.division

/**
 * The number of engines that each of [models] is due, as fractions that add up to [engines]. A model without a share
 * in [shares] counts as 0; without any share, all models are due the same. While there are enough engines, each model
 * is due at least one.
 */
public fun engineQuotas(
    engines: Int,
    models: List<String>,
    shares: Map<String, Int>,
): Map<String, Double> {
    val weights = models.associateWith { (shares[it] ?: 0).coerceAtLeast(0).toDouble() }
    val known = if (weights.values.sum() > 0) weights else models.associateWith { 1.0 }
    return if (engines < models.size) proportional(engines, known) else withMinimum(engines, known)
}

private fun proportional(
    engines: Int,
    weights: Map<String, Double>,
): Map<String, Double> {
    val total = weights.values.sum()
    return weights.mapValues { (_, weight) -> if (total > 0) engines * weight / total else 0.0 }
}

private fun withMinimum(
    engines: Int,
    weights: Map<String, Double>,
): Map<String, Double> {
    val quotas = proportional(engines, weights)
    val raised = quotas.filterValues { it < 1 }.keys
    if (raised.isEmpty() || raised.size == weights.size) return quotas
    val others = withMinimum(engines - raised.size, weights - raised)
    return weights.mapValues { (model, _) -> others[model] ?: 1.0 }
}

/**
 * Whole numbers of engines near [quotas]. A model keeps the number in [held] if that is within [KEPT_DEVIATION] of its
 * quota; what is left over goes to the largest remainders.
 */
public fun engineCounts(
    quotas: Map<String, Double>,
    held: Map<String, Int>,
): Map<String, Int> {
    val engines = Math.round(quotas.values.sum()).toInt()
    val minimum = if (engines >= quotas.size) 1 else 0
    val models = quotas.keys.sorted()
    val counts = models.associateWithTo(LinkedHashMap()) { model ->
        val quota = quotas.getValue(model)
        val lower = Math.ceil(quota - KEPT_DEVIATION).toInt().coerceAtLeast(minimum)
        val upper = Math.floor(quota + KEPT_DEVIATION).toInt().coerceAtLeast(lower)
        (held[model] ?: 0).coerceIn(lower, upper)
    }

    fun deficit(model: String) = quotas.getValue(model) - counts.getValue(model)
    while (counts.values.sum() < engines) {
        val model = models.maxBy(::deficit)
        counts[model] = counts.getValue(model) + 1
    }
    while (counts.values.sum() > engines) {
        val model = models.filter { counts.getValue(it) > minimum }.minBy(::deficit)
        counts[model] = counts.getValue(model) - 1
    }
    return counts
}

/** Deviation from the quota, in engines, up to which a model's number of engines is kept. */
internal const val KEPT_DEVIATION: Double = 0.75
