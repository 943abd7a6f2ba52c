/**
 * Compares the request policies with baselines on the same arrivals: the choice of an engine, priorities between
 * interactive requests and rollouts, and fair shares between teams. The only argument is the seed.
 */
package org.mulberrypin.benchmarks.requests

import org.mulberrypin.decisions.requests.RequestPolicies
import org.mulberrypin.decisions.requests.ServerChoice
import org.mulberrypin.decisions.requests.TeamChoice
import org.mulberrypin.decisions.requests.defaultPolicies
import org.mulberrypin.decisions.requests.firstWaitingTeam
import org.mulberrypin.decisions.requests.leastOccupiedServer
import org.mulberrypin.decisions.requests.lowestVirtualTimeTeam
import org.mulberrypin.decisions.requests.prefixOrLeastLoadedServer
import org.mulberrypin.decisions.requests.randomServer
import org.mulberrypin.decisions.requests.twoChoicesServer
import kotlin.random.Random

/** Prints the three comparisons. */
public fun main(arguments: Array<String>) {
    val seed = arguments.firstOrNull()?.toLong() ?: 1L
    compareRouting(seed)
    comparePriorities(seed)
    compareFairShares(seed)
}

private fun compareRouting(seed: Long) {
    println("# Choice of an engine: 12 instances, 12 engines of 8 slots, 64 prefixes, 8 cached each, seed $seed")
    println("policy                     median_ms   p99_ms  cached_%")
    val choices: List<Pair<String, ServerChoice>> =
        listOf(
            "random (baseline)" to ::randomServer,
            "least occupied (baseline)" to ::leastOccupiedServer,
            "two choices" to ::twoChoicesServer,
            "prefix, else two choices" to ::prefixOrLeastLoadedServer,
        )
    choices.forEach { (name, choice) ->
        val loads = listOf(TeamLoad("carvers", perSecond = 120.0, tokens = 32))
        val figures = run(RequestScenario(RequestPolicies(choice, ::lowestVirtualTimeTeam), loads), seed)
        val latencies = figures.latencies.getValue("carvers")
        println(
            row(
                name,
                latencies.getValueAtPercentile(MEDIAN),
                latencies.getValueAtPercentile(P99),
                cachedPercent(figures),
            ),
        )
    }
}

private fun comparePriorities(seed: Long) {
    println("# Priorities: 12 instances, 6 engines of 8 slots, rollouts beyond capacity, seed $seed")
    println("policy                     median_ms   p99_ms  rollouts_done")
    val lookups = TeamLoad("lookups", perSecond = 20.0, tokens = 16)
    val rollouts = TeamLoad("rollouts", perSecond = 16.0, tokens = 400, isRollout = true)
    val alone = RequestScenario(defaultPolicies(), listOf(lookups), engines = 6)
    val together = alone.copy(loads = listOf(lookups, rollouts))
    val runs =
        listOf(
            "without rollouts" to alone,
            "no priorities (baseline)" to together.copy(priorities = false),
            "priorities, no reserve" to together,
            "priorities, 2 reserved" to together.copy(reservedSlots = 2),
        )
    runs.forEach { (name, scenario) ->
        val figures = run(scenario, seed)
        val latencies = figures.latencies.getValue("lookups")
        val completed = figures.latencies["rollouts"]?.totalCount ?: 0
        println(row(name, latencies.getValueAtPercentile(MEDIAN), latencies.getValueAtPercentile(P99), completed))
    }
}

private fun compareFairShares(seed: Long) {
    println("# Fair shares: one large team sends 10 times its share, three small teams send little, seed $seed")
    println("policy                     worst_small_p99_ms  large_done  small_done")
    val small = listOf("stock", "ledger", "tools").map { TeamLoad(it, perSecond = 3.0, tokens = 100) }
    val large = TeamLoad("a-large", perSecond = 400.0, tokens = 100)
    val choices: List<Pair<String, TeamChoice>> =
        listOf("first come (baseline)" to ::firstWaitingTeam, "least served" to ::lowestVirtualTimeTeam)
    choices.forEach { (name, choice) ->
        val policies = RequestPolicies(::prefixOrLeastLoadedServer, choice)
        val figures = run(RequestScenario(policies, listOf(large) + small, instances = 3, engines = 6), seed)
        val smallFigures = small.map { figures.latencies.getValue(it.team) }
        val worstMilliseconds = smallFigures.maxOf { it.getValueAtPercentile(P99) }
        val completed = figures.latencies.getValue("a-large").totalCount
        println(row(name, worstMilliseconds, completed, smallFigures.sumOf { it.totalCount }))
    }
}

private fun run(
    scenario: RequestScenario,
    seed: Long,
): RequestFigures = RequestSimulation(scenario, Random(seed)).run()

private fun cachedPercent(figures: RequestFigures): Long = figures.cached * PERCENT / figures.started.coerceAtLeast(1)

private fun row(
    name: String,
    first: Long,
    second: Long,
    third: Long,
): String = name.padEnd(NAME_WIDTH) + listOf(first, second, third).joinToString(" ") { "$it".padStart(COLUMN_WIDTH) }

private const val MEDIAN = 50.0
private const val P99 = 99.0
private const val PERCENT = 100
private const val NAME_WIDTH = 26
private const val COLUMN_WIDTH = 9
