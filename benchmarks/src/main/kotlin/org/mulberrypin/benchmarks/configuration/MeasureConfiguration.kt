/**
 * Measures how a configuration patch propagates to all instances (by polling only, by gossip with a fixed fanout, and
 * along the announcement tree) and what an outage of the table service costs. Takes no arguments; the seed is fixed.
 */
package org.mulberrypin.benchmarks.configuration

import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.schema.generated.ChangeSubject
import org.mulberrypin.schema.generated.ConfigurationChange
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.Key
import org.mulberrypin.schema.generated.KeyRole
import org.mulberrypin.schema.generated.Team
import kotlin.random.Random

/** Runs all measurements and prints a table for each. */
public fun main() {
    println("# Propagation of one patch, seed $SEED, one-way delay 1 to 50 ms")
    println("instances dead method        messages  bytes/instance  all_ms  answered_ms  result")
    SIZES.forEach { size ->
        listOf(0, size / DEAD_DIVISOR).distinct().forEach { dead ->
            measurePropagation(size, dead, announces = false, method = "polling only")
            measureGossip(size, dead)
            measurePropagation(size, dead, announces = true, method = "tree and polling")
        }
    }
    println()
    println("# 120 s with the table service and 120 s without, no patches")
    println(
        "instances dead store  certain_min  reads/s  messages/s/instance  bytes/s/instance  microseconds/s/instance",
    )
    SIZES.forEach { size -> listOf(0, size / DEAD_DIVISOR).distinct().forEach { measureOutage(size, it) } }
    println()
    measureMembership()
}

private fun measurePropagation(
    size: Int,
    dead: Int,
    announces: Boolean,
    method: String,
) {
    val simulation = PropagationSimulation(size, dead, announces, SEED)
    simulation.start()
    simulation.run(WARM_UP_MILLISECONDS)
    simulation.counts = PropagationCounts()
    if (announces) simulation.submit(0, newSubmission()) else simulation.commitUnannounced(newSubmission().patch)
    val expected = simulation.version(0) + 1
    val allReached = { simulation.alive.all { simulation.version(it) >= expected } }
    var reached = -1L
    val answered = simulation.run(TIMEOUT_MILLISECONDS) {
        if (reached < 0 && allReached()) reached = simulation.now
        if (announces) simulation.result != null && reached >= 0 else reached >= 0
    }
    val start = simulation.now - answered
    val result = if (announces) "${simulation.result}" else "not accepted: no confirmations"
    println(
        "%9d %4d %-15s %7d %15d %7d %12d  %s".format(
            size,
            dead,
            method,
            simulation.counts.messages,
            simulation.counts.bytes / size,
            reached - start,
            answered,
            result,
        ),
    )
}

/** Each instance that receives the version for the first time sends it to a fixed number of random instances. */
private fun measureGossip(
    size: Int,
    dead: Int,
) {
    val random = Random(SEED)
    var messages = 0
    val informed = BooleanArray(size)
    var frontier = listOf(0)
    informed[0] = true
    var rounds = 0
    while (frontier.isNotEmpty()) {
        rounds++
        val targets = frontier.flatMap { List(GOSSIP_FANOUT) { random.nextInt(size) } }
        messages += targets.size
        frontier = targets.distinct().filter { it < size - dead && !informed[it] }
        frontier.forEach { informed[it] = true }
    }
    val reached = informed.count { it }
    val bytes = 2L * messages * (PATCH_BYTES + OVERHEAD_BYTES) / size
    println(
        "%9d %4d %-15s %7d %15d %7s %12s  %s".format(
            size,
            dead,
            "gossip of $GOSSIP_FANOUT",
            2 * messages,
            bytes,
            "-",
            "-",
            "$reached of ${size - dead} reached in $rounds rounds, the others poll",
        ),
    )
}

private fun measureOutage(
    size: Int,
    dead: Int,
) {
    val simulation = PropagationSimulation(size, dead, announces = true, SEED)
    simulation.start()
    simulation.run(WARM_UP_MILLISECONDS)
    listOf(true, false).forEach { available ->
        simulation.storeAvailable = available
        simulation.counts = PropagationCounts()
        var minimumCertain = size
        repeat(OUTAGE_SECONDS) {
            simulation.run(1_000)
            minimumCertain = minOf(minimumCertain, simulation.countCertain())
        }
        val seconds = OUTAGE_SECONDS.toDouble()
        println(
            "%9d %4d %-6s %11d %8.1f %20.2f %17.0f %24.1f".format(
                size,
                dead,
                if (available) "up" else "down",
                minimumCertain,
                simulation.counts.reads / seconds,
                simulation.counts.messages / seconds / size,
                simulation.counts.bytes / seconds / size,
                simulation.counts.decisionNanoseconds / NANOSECONDS_PER_MICROSECOND / seconds / size,
            ),
        )
    }
}

private fun newSubmission(): ConfigurationEvent.PatchSubmitted {
    val team = Team(name = "kerbrat", weight = 1.0)
    val key = Key("till", "kerbrat", "0".repeat(DIGEST_LENGTH), KeyRole.CALLER)
    val changes = listOf(
        ConfigurationChange(subject = ChangeSubject.TEAM, name = team.name, team = team),
        ConfigurationChange(subject = ChangeSubject.KEY, name = key.name, key = key),
    )
    return ConfigurationEvent.PatchSubmitted(1, ConfigurationPatch(0, "operator", "measurement", changes), 0)
}

private const val SEED = 15L
private val SIZES = listOf(12, 100, 650)
private const val DEAD_DIVISOR = 20
private const val WARM_UP_MILLISECONDS = 10_000L
private const val TIMEOUT_MILLISECONDS = 30_000L
private const val OUTAGE_SECONDS = 120
private const val GOSSIP_FANOUT = 4
private const val PATCH_BYTES = 250L
private const val DIGEST_LENGTH = 64
private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
