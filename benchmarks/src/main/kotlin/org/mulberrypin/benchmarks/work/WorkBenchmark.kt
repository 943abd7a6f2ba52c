/**
 * Compares rules for the choice of a server on the same arrivals and service times: servers of unequal speed that are
 * slower at times, requests of very unequal work, and instances that know little of each other. The only argument is
 * the seed.
 */
package org.mulberrypin.benchmarks.work

/** Prints a table of completion times by number of instances and way in which reports arrive. */
public fun main(arguments: Array<String>) {
    val seed = arguments.firstOrNull()?.toInt() ?: 1
    println("# Completion in ms: 24 servers of 6 slots, speeds 0.7, 0.7, 1.7, slow 15% of the time, seed $seed")
    println("| reports | instances | rule | p50 | p90 | p99 |")
    println("| --- | --- | --- | --- | --- | --- |")
    val policies: List<Pair<String, WorkPolicy>> = listOf(
        "occupancy in eighths (before)" to ::occupancyInEighths,
        "least outstanding" to ::leastOutstanding,
        "two choices" to ::twoChoices,
        "shortest expected completion" to ::shortestCompletion,
    )
    REPORTS.forEach { (reports, interval) ->
        INSTANCES.forEach { instances ->
            val scenario = WorkScenario(instances, sharedReportMilliseconds = interval)
            policies.forEach { (name, policy) ->
                val times = WorkSimulation(scenario, policy, seed).run()
                val row = PERCENTILES.map { times.getValueAtPercentile(it) }.joinToString(" | ")
                println("| $reports | $instances | $name | $row |")
            }
        }
    }
}

private val INSTANCES = listOf(10, 30, 95, 300)
private val REPORTS = listOf("with own answers" to 0L, "of all, 0 to 2 s old" to 2_000L)
private val PERCENTILES = listOf(50.0, 90.0, 99.0)
