/**
 * Compares the order in which groups of samples are started and the replacing of stragglers with a first-come baseline,
 * on the decision code itself and simulated time.
 */
package org.mulberrypin.benchmarks.rollouts

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.util.Locale
import kotlin.system.exitProcess

/** Prints the figures of all policies side by side. */
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
    println(describe(scenario))
    rows.forEach { (label, value) -> println(line(label, figures.map(value))) }
}

private fun describe(scenario: RolloutScenario): String =
    "seed ${scenario.seed}: ${scenario.trainers} trainers, ${scenario.steps} steps of " +
        "${scenario.groups * scenario.samples} samples in groups of ${scenario.samples}, ${scenario.instances} " +
        "instances with ${scenario.slots} slots, ${scenario.slowPercent}% of them slow, new weights each 120 s, " +
        "staleness bound ${scenario.staleness}"

private fun line(
    label: String,
    values: List<String>,
): String = label.padEnd(LABEL_WIDTH) + values.joinToString("") { it.padStart(VALUE_WIDTH) }

private fun oneDecimal(value: Double): String = "%.1f".format(Locale.ROOT, value)

private val rows: List<Pair<String, (RolloutFigures) -> String>> = listOf(
    "policy" to { it.policy },
    "first step whole, mean seconds" to { oneDecimal(it.firstStepSeconds) },
    "later steps whole, mean seconds" to { oneDecimal(it.laterStepSeconds) },
    "worst step whole, seconds" to { oneDecimal(it.worstStepSeconds) },
    "trainer idle time for each step, seconds" to { oneDecimal(it.idleSeconds) },
    "worst trainer's idle time, seconds" to { oneDecimal(it.worstIdleSeconds) },
    "staleness, median versions" to { it.stalenessMedian.toString() },
    "staleness, 99th percentile" to { it.stalenessTail.toString() },
    "staleness, largest" to { it.stalenessLargest.toString() },
    "mean tokens of a delivered sample" to { oneDecimal(it.meanTokens) },
    "generated tokens not delivered, percent" to { oneDecimal(it.wastedPercent) },
    "table commits for each step" to { oneDecimal(it.commits) },
)

private const val LABEL_WIDTH = 42
private const val VALUE_WIDTH = 16
