/**
 * Measures the processor time and the memory that the request decisions of one instance take, over several numbers of
 * engines and of requests under way. No arguments.
 */
package org.mulberrypin.benchmarks.requests

import org.mulberrypin.decisions.requests.servicePolicies
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Prints one line for each size. */
public fun main() {
    println("engines  requests/s  microseconds/request")
    for (engines in listOf(6, 20, 40)) {
        for (perSecond in listOf(14.0, 28.0, 55.0)) {
            val loads = listOf(TeamLoad("team", perSecond, tokens = 300))
            val scenario =
                RequestScenario(servicePolicies(), loads, instances = 1, engines = engines, slots = 40)
            RequestSimulation(scenario, Random(1)).run()
            println(measure(scenario, engines, perSecond))
        }
    }
}

private fun measure(
    scenario: RequestScenario,
    engines: Int,
    perSecond: Double,
): String {
    val threads = ManagementFactory.getThreadMXBean()
    val startNanoseconds = threads.currentThreadCpuTime
    val figures = RequestSimulation(scenario, Random(2)).run()
    val spentNanoseconds = threads.currentThreadCpuTime - startNanoseconds
    val done = figures.latencies.values
        .sumOf { it.totalCount }
        .coerceAtLeast(1)
    val microseconds = spentNanoseconds / NANOSECONDS_PER_MICROSECOND / done
    return "$engines".padStart(7) + "$perSecond".padStart(12) + "$microseconds".padStart(22)
}

private const val NANOSECONDS_PER_MICROSECOND = 1_000
