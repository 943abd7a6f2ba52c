package org.mulberrypin.benchmarks.rollouts

import org.HdrHistogram.Histogram
import org.mulberrypin.decisions.rollouts.RunnerEvent

/** Runs [scenario] with [policy] in simulated time. */
internal class RolloutSimulation(
    private val scenario: RolloutScenario,
    private val policy: RolloutPolicy,
) {
    private val clock = SimulatedClock()
    private val lengths = SampleLengths(scenario.seed)
    private val engineVersions = mutableMapOf<String, Long>()
    private val names = (1..scenario.instances).map { "instance-$it" }
    private val instances = names.withIndex().associate { (index, name) -> name to createInstance(name, index) }
    private val trainers = (1..scenario.trainers).map { number ->
        val homeInstance = instances.getValue(names[(number - 1) % names.size])
        SimulatedTrainer("trainer-$number", scenario, clock, homeInstance)
    }

    fun run(): RolloutFigures {
        instances.values.forEach { instance ->
            instance.setInstances(names)
            instance.tick()
        }
        trainers.forEach { it.startStep() }
        clock.schedule(VERSION_MILLISECONDS) { publishVersions() }
        clock.runUntil { trainers.all { it.isDone } }
        return figures()
    }

    private fun createInstance(
        name: String,
        index: Int,
    ): SimulatedInstance {
        val isSlow = index * PERCENT < scenario.instances * scenario.slowPercent
        val speed = if (isSlow) TOKENS_PER_SECOND / SLOW_DIVISOR else TOKENS_PER_SECOND
        return SimulatedInstance(name, clock, policy, { instances.getValue(it) }) { instance ->
            SimulatedEngines(clock, scenario.slots, speed, lengths, { engineVersions[it] ?: 1 }) { request, reply ->
                instance.run(RunnerEvent.Replied(request, reply))
            }
        }
    }

    private fun publishVersions() {
        trainers.forEach { trainer ->
            trainer.version++
            val version = trainer.version
            val route = "trainer-${trainers.indexOf(trainer) + 1}"
            clock.schedule(WEIGHT_LOAD_MILLISECONDS) { engineVersions[route] = version }
        }
        clock.schedule(VERSION_MILLISECONDS) { publishVersions() }
    }

    private fun figures(): RolloutFigures {
        val staleness = Histogram(2)
        trainers.forEach { staleness.add(it.staleness) }
        val delivered = trainers.sumOf { it.tokens }
        return RolloutFigures(
            policy = policy.name,
            firstStepSeconds = trainers.map { it.stepMilliseconds.first() / MILLISECONDS_PER_SECOND }.average(),
            laterStepSeconds = trainers
                .flatMap { it.stepMilliseconds.drop(1) }
                .map { it / MILLISECONDS_PER_SECOND }
                .average(),
            worstStepSeconds = trainers.flatMap { it.stepMilliseconds }.max() / MILLISECONDS_PER_SECOND,
            idleSeconds = trainers.sumOf { it.idleMilliseconds } / MILLISECONDS_PER_SECOND /
                (trainers.size * scenario.steps),
            worstIdleSeconds = trainers.maxOf { it.idleMilliseconds } / MILLISECONDS_PER_SECOND / scenario.steps,
            stalenessMedian = staleness.getValueAtPercentile(MEDIAN),
            stalenessTail = staleness.getValueAtPercentile(PERCENTILE_99),
            stalenessLargest = staleness.maxValue,
            meanTokens = delivered.toDouble() / trainers.sumOf { it.samples },
            wastedPercent = PERCENT - delivered * PERCENT.toDouble() / instances.values.sumOf { it.tokensGenerated },
            commits = instances.values.sumOf { it.commits }.toDouble() / (trainers.size * scenario.steps),
        )
    }

    private companion object {
        const val VERSION_MILLISECONDS = 120_000L
        const val WEIGHT_LOAD_MILLISECONDS = 33_000L
        const val TOKENS_PER_SECOND = 50L
        const val SLOW_DIVISOR = 4
        const val MILLISECONDS_PER_SECOND = 1000.0
        const val PERCENT = 100
        const val MEDIAN = 50.0
        const val PERCENTILE_99 = 99.0
    }
}
