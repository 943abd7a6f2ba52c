/**
 * Compares rules for the choice of a server on the same arrivals and service times: servers of unequal speed that are
 * slower at times, requests of very unequal work, and instances that know little of each other. The only argument is
 * the seed.
 */
package org.mulberrypin.benchmarks.work

/** Prints completion times by number of instances and way in which reports arrive, then by use of the servers. */
public fun main(arguments: Array<String>) {
    val seed = arguments.firstOrNull()?.toInt() ?: 1
    println("# Completion in ms: 24 servers of 6 slots, speeds 0.7, 0.7, 1.7, slow 15% of the time, seed $seed")
    println("| reports | instances | use | rule | p50 | p90 | p99 |")
    println("| --- | --- | --- | --- | --- | --- | --- |")
    INSTANCES.forEach { compare(WorkScenario(it), seed) }
    INSTANCES.forEach { compare(WorkScenario(it, sharedReportMilliseconds = SHARED_REPORT_MILLISECONDS), seed) }
    INSTANCES.forEach { compare(WorkScenario(it, hasReports = false), seed) }
    UTILIZATIONS.forEach { compare(WorkScenario(INSTANCES_BY_USE, utilization = it), seed) }
}

private fun compare(
    scenario: WorkScenario,
    seed: Int,
) {
    val reports = when {
        !scenario.hasReports -> "none"
        scenario.sharedReportMilliseconds > 0 -> "of all, 0 to 2 s old"
        else -> "with own answers"
    }
    val policies: List<Pair<String, WorkPolicy>> = listOf(
        "occupancy in eighths (before)" to ::occupancyInEighths,
        "least outstanding" to ::leastOutstanding,
        "two choices" to ::twoChoices,
        "shortest expected completion" to ::shortestCompletion,
    )
    policies.forEach { (name, policy) ->
        val times = WorkSimulation(scenario, policy, seed).run()
        val row = PERCENTILES.map { times.getValueAtPercentile(it) }.joinToString(" | ")
        println("| $reports | ${scenario.instances} | ${scenario.utilization} | $name | $row |")
    }
}

private val INSTANCES = listOf(10, 30, 95, 300)
private val UTILIZATIONS = listOf(0.1, 0.3, 0.85)
private val PERCENTILES = listOf(50.0, 90.0, 99.0)
private const val INSTANCES_BY_USE = 95
private const val SHARED_REPORT_MILLISECONDS = 2_000L
