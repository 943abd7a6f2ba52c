/**
 * Compares policies for the order of sample groups, the choice of instances and oversampling with a first-come
 * baseline. It runs the production decisions in simulated time.
 */
package org.mulberrypin.benchmarks.rollouts

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.util.Locale
import kotlin.system.exitProcess

/** Prints the results of all policies side by side. */
public fun main(arguments: Array<String>) {
    val scenario = RolloutScenario()
    val parser = CmdLineParser(scenario)
    try {
        parser.parseArgument(arguments.toList())
    } catch (failure: CmdLineException) {
        System.err.println(failure.message)
        parser.printUsage(System.err)
        exitProcess(2)
    }
    val figures = comparedPolicies(scenario).map { RolloutSimulation(scenario, it).run() }
    println(scenarioSummary(scenario))
    tableRows.forEach { (label, value) -> println(tableRow(label, figures.map(value))) }
}

private fun scenarioSummary(scenario: RolloutScenario): String =
    "seed ${scenario.seed}: ${scenario.trainers} trainers, ${scenario.steps} steps of " +
        "${scenario.groups * scenario.samples} samples in groups of ${scenario.samples}, ${scenario.instances} " +
        "instances with ${scenario.slots} slots, ${scenario.slowPercent}% of them slow, new weights every 120 s, " +
        "staleness bound ${scenario.staleness}"

private fun tableRow(
    label: String,
    values: List<String>,
): String = label.padEnd(LABEL_WIDTH) + values.joinToString("") { it.padStart(VALUE_WIDTH) }

private fun formatOneDecimal(value: Double): String = "%.1f".format(Locale.ROOT, value)

private val tableRows: List<Pair<String, (RolloutFigures) -> String>> = listOf(
    "policy" to { it.policy },
    "first step complete, mean seconds" to { formatOneDecimal(it.firstStepSeconds) },
    "later steps complete, mean seconds" to { formatOneDecimal(it.laterStepSeconds) },
    "slowest step complete, seconds" to { formatOneDecimal(it.worstStepSeconds) },
    "trainer idle time per step, seconds" to { formatOneDecimal(it.idleSeconds) },
    "worst trainer's idle time, seconds" to { formatOneDecimal(it.worstIdleSeconds) },
    "staleness, median versions" to { it.stalenessMedian.toString() },
    "staleness, 99th percentile" to { it.stalenessTail.toString() },
    "staleness, largest" to { it.stalenessLargest.toString() },
    "mean tokens of a delivered sample" to { formatOneDecimal(it.meanTokens) },
    "generated tokens not delivered, percent" to { formatOneDecimal(it.wastedPercent) },
    "table commits per step" to { formatOneDecimal(it.commits) },
)

private const val LABEL_WIDTH = 42
private const val VALUE_WIDTH = 16
