/**
 * Measures how a patch reaches all instances, by polling alone, by gossip with a fixed fanout and along the tree, and
 * what an outage of the table service costs. Arguments: none; the seed is fixed.
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

/** Runs all measurements and prints a table of each. */
public fun main() {
    println("# Spread of one patch, seed $SEED, one way 1 to 50 ms")
    println("instances dead way           messages  bytes/instance  all_ms  answered_ms  result")
    SIZES.forEach { size ->
        listOf(0, size / DEAD_PART).distinct().forEach { dead ->
            measureSpread(size, dead, announces = false, way = "polling alone")
            measureGossip(size, dead)
            measureSpread(size, dead, announces = true, way = "tree and polling")
        }
    }
    println()
    println("# 120 s with the table service and 120 s without, no patches")
    println(
        "instances dead store  certain_min  reads/s  messages/s/instance  bytes/s/instance  microseconds/s/instance",
    )
    SIZES.forEach { size -> listOf(0, size / DEAD_PART).distinct().forEach { measureOutage(size, it) } }
    println()
    measureMembership()
}

private fun measureSpread(
    size: Int,
    dead: Int,
    announces: Boolean,
    way: String,
) {
    val world = SpreadWorld(size, dead, announces, SEED)
    world.start()
    world.run(WARM_UP_MILLISECONDS)
    world.counts = SpreadCounts()
    if (announces) world.submit(0, submission()) else world.writeHistory(submission().patch)
    val expected = world.version(0) + 1
    val all = { world.alive.all { world.version(it) >= expected } }
    var reached = -1L
    val answered = world.run(LIMIT_MILLISECONDS) {
        if (reached < 0 && all()) reached = world.now
        if (announces) world.result != null && reached >= 0 else reached >= 0
    }
    val start = world.now - answered
    val result = if (announces) "${world.result}" else "not accepted: nobody confirms"
    println(
        "%9d %4d %-15s %7d %15d %7d %12d  %s".format(
            size,
            dead,
            way,
            world.counts.messages,
            world.counts.bytes / size,
            reached - start,
            answered,
            result,
        ),
    )
}

/** Each instance that learns of the version sends it to a fixed number of others, once. */
private fun measureGossip(
    size: Int,
    dead: Int,
) {
    val random = Random(SEED)
    var messages = 0
    val known = BooleanArray(size)
    var front = listOf(0)
    known[0] = true
    var rounds = 0
    while (front.isNotEmpty()) {
        rounds++
        val targets = front.flatMap { List(GOSSIP_FANOUT) { random.nextInt(size) } }
        messages += targets.size
        front = targets.distinct().filter { it < size - dead && !known[it] }
        front.forEach { known[it] = true }
    }
    val reached = known.count { it }
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
            "$reached of ${size - dead} reached in $rounds rounds, the rest polls",
        ),
    )
}

private fun measureOutage(
    size: Int,
    dead: Int,
) {
    val world = SpreadWorld(size, dead, announces = true, SEED)
    world.start()
    world.run(WARM_UP_MILLISECONDS)
    listOf(true, false).forEach { up ->
        world.storeUp = up
        world.counts = SpreadCounts()
        var least = size
        repeat(OUTAGE_SECONDS) {
            world.run(1_000)
            least = minOf(least, world.certain())
        }
        val seconds = OUTAGE_SECONDS.toDouble()
        println(
            "%9d %4d %-6s %11d %8.1f %20.2f %17.0f %24.1f".format(
                size,
                dead,
                if (up) "up" else "down",
                least,
                world.counts.reads / seconds,
                world.counts.messages / seconds / size,
                world.counts.bytes / seconds / size,
                world.counts.decisionNanoseconds / NANOSECONDS_PER_MICROSECOND / seconds / size,
            ),
        )
    }
}

private fun submission(): ConfigurationEvent.PatchSubmitted {
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
private const val DEAD_PART = 20
private const val WARM_UP_MILLISECONDS = 10_000L
private const val LIMIT_MILLISECONDS = 30_000L
private const val OUTAGE_SECONDS = 120
private const val GOSSIP_FANOUT = 4
private const val PATCH_BYTES = 250L
private const val DIGEST_LENGTH = 64
private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
