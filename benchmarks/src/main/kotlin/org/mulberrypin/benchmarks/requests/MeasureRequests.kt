/**
 * Measures the processor time that the request decisions of one instance take for each request, with several numbers of
 * engines and request rates. Takes no arguments.
 */
package org.mulberrypin.benchmarks.requests

import org.mulberrypin.decisions.requests.defaultPolicies
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Prints one line for each number of engines and request rate. */
public fun main() {
    println("engines  requests/s  microseconds/request")
    for (engines in listOf(6, 20, 40)) {
        for (requestsPerSecond in listOf(14.0, 28.0, 55.0)) {
            val loads = listOf(TeamLoad("team", requestsPerSecond, tokens = 300))
            val scenario =
                RequestScenario(defaultPolicies(), loads, instances = 1, engines = engines, slots = 40)
            RequestSimulation(scenario, Random(1)).run()
            println(measure(scenario, engines, requestsPerSecond))
        }
    }
}

private fun measure(
    scenario: RequestScenario,
    engines: Int,
    requestsPerSecond: Double,
): String {
    val threads = ManagementFactory.getThreadMXBean()
    val startNanoseconds = threads.currentThreadCpuTime
    val figures = RequestSimulation(scenario, Random(2)).run()
    val processorNanoseconds = threads.currentThreadCpuTime - startNanoseconds
    val completed = figures.latencies.values
        .sumOf { it.totalCount }
        .coerceAtLeast(1)
    val microseconds = processorNanoseconds / NANOSECONDS_PER_MICROSECOND / completed
    return "$engines".padStart(7) + "$requestsPerSecond".padStart(12) + "$microseconds".padStart(22)
}

private const val NANOSECONDS_PER_MICROSECOND = 1_000
