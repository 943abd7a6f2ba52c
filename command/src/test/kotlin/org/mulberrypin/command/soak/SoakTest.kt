package org.mulberrypin.command.soak

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.CleanupMode
import org.junit.jupiter.api.io.TempDir
import org.mulberrypin.runtime.systemClock
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path
import kotlin.concurrent.thread

/**
 * Real processes under faults that are drawn from seeds: `-Dsoak.seeds=1-50` plays these seeds, `-Dsoak.seconds=20`
 * says how long each disturbs. Without them, one short seed and all seeds that ever failed are played.
 */
class SoakTest {
    private val clock = systemClock()

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    lateinit var folder: Path

    @Test
    fun `keeps its promises while processes, links and the store fail`() {
        val failed = seeds().mapNotNull { seed -> play(seed).takeIf { it.isNotEmpty() }?.let { seed to it.toList() } }
        expectThat(failed).isEmpty()
    }

    @Test
    fun `draws the same faults from the same seed and other faults from another`() {
        expectThat(soakPlan(1, 20_000, INSTANCES)).isEqualTo(soakPlan(1, 20_000, INSTANCES))
        expectThat(soakPlan(1, 20_000, INSTANCES).hashCode()).not().isEqualTo(soakPlan(2, 20_000, INSTANCES).hashCode())
    }

    private fun play(seed: Long): Findings {
        val findings = Findings()
        val plan = soakPlan(seed, Integer.getInteger("soak.seconds", SHORT_SECONDS) * 1_000L, INSTANCES)
        val logs = Files.createDirectories(folder.resolve("seed-$seed"))
        SoakWorld(logs, INSTANCES).use { world -> run(world, plan, seed, findings) }
        println("soak seed=$seed faults=${plan.size} findings=${findings.size} logs=$logs")
        findings.forEach { println("soak seed=$seed finding: $it") }
        return findings
    }

    private fun run(
        world: SoakWorld,
        plan: List<PlannedFault>,
        seed: Long,
        findings: Findings,
    ) {
        var isDisturbed = true
        var patienceEnds = Long.MAX_VALUE
        val patience = { clock.readMilliseconds() < patienceEnds }
        val callers = (1..CALLERS).map { SoakCaller("caller-$it", SoakConnections(world::ports, seed + it), findings) }
        val trainers = (1..TRAINERS).map { number ->
            SoakTrainer("job-$number", SoakConnections(world::ports, seed - number), findings) { engine ->
                world.engines.first { it.id == engine }.ran
            }
        }
        world.awaitInstances()
        val threads = callers.map { thread(isDaemon = true) { it.runWhile { isDisturbed } } } +
            trainers.map { thread(isDaemon = true) { it.runWhile({ isDisturbed }, patience) } }
        world.play(plan)
        isDisturbed = false
        world.awaitInstances()
        patienceEnds = clock.readMilliseconds() + RECOVERY_MILLISECONDS
        threads.forEach { it.join() }
        val ran = world.plain.ran.mapTo(HashSet()) { it.id }
        callers.flatMap { it.notRun }.filter { it in ran }.forEach { findings.add("$it: refused as not run, and ran") }
        if (callers.sumOf { it.answered } == 0) findings.add("no caller was answered")
        if (trainers.sumOf { it.wholeJobs } == 0) findings.add("no job became whole")
    }

    private fun seeds(): List<Long> {
        val range = System.getProperty("soak.seeds") ?: return listOf(SHORT_SEED) + failedSeeds
        return (range.substringBefore('-').toLong()..range.substringAfter('-').toLong()).toList()
    }

    private companion object {
        private const val INSTANCES = 3
        private const val CALLERS = 3
        private const val TRAINERS = 2
        private const val SHORT_SEED = 1L
        private const val SHORT_SECONDS = 12

        /** Time after the last fault in which every accepted job becomes whole, in milliseconds. */
        private const val RECOVERY_MILLISECONDS = 25_000L

        /** Seeds that failed before, each with its cause. */
        private val failedSeeds = emptyList<Long>()
    }
}
