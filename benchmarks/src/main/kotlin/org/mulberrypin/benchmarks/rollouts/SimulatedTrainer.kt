package org.mulberrypin.benchmarks.rollouts

import org.HdrHistogram.Histogram
import org.mulberrypin.decisions.rollouts.TrainerCall
import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.PromptGroup
import org.mulberrypin.schema.generated.StepRequest

/** A trainer that requests batches, trains on their samples, and is idle while it has none. */
internal class SimulatedTrainer(
    private val name: String,
    private val scenario: RolloutScenario,
    private val clock: SimulatedClock,
    private val homeInstance: SimulatedInstance,
) {
    /** Milliseconds from the start of each step to its last batch. */
    val stepMilliseconds = mutableListOf<Long>()

    /** Versions between the trainer and the oldest token of each sample, at delivery. */
    val staleness = Histogram(2)
    var version = 1L
    var idleMilliseconds = 0L
    var samples = 0L
    var tokens = 0L
    var isDone = false
    private var step = 0
    private var stepStartedMilliseconds = 0L
    private var idleSinceMilliseconds = 0L
    private var acknowledged = 0L

    /** Opens the next step and schedules the request for its first batch. */
    fun startStep() {
        step++
        acknowledged = 0
        stepStartedMilliseconds = clock.nowMilliseconds
        idleSinceMilliseconds = clock.nowMilliseconds
        val request = StepRequest(
            trainer = name,
            step = "step-$step",
            model = name,
            groups = (1..scenario.groups).map { PromptGroup("group-$it", "$name prompt $it", scenario.samples) },
            stalenessBound = scenario.staleness,
            trainerVersion = version,
            team = "team",
        )
        homeInstance.call({ TrainerCall.Open(it, request) }) { scheduleRequest(it.retryAfterMilliseconds) }
    }

    private fun scheduleRequest(milliseconds: Long) = clock.schedule(milliseconds) { requestBatch() }

    private fun requestBatch() {
        val request = BatchRequest(name, "step-$step", acknowledged, version, team = "team")
        homeInstance.call({ TrainerCall.NextBatch(it, request, isForwarded = false) }, ::handleAnswer)
    }

    private fun handleAnswer(answer: BatchAnswer) {
        val batch = answer.batch
        when {
            batch != null -> train(batch)
            answer.complete -> endStep()
            else -> scheduleRequest(answer.retryAfterMilliseconds)
        }
    }

    private fun train(batch: Batch) {
        val samplesOfBatch = batch.groups.flatMap { it.samples }
        idleMilliseconds += clock.nowMilliseconds - idleSinceMilliseconds
        acknowledged = batch.number
        samples += samplesOfBatch.size
        samplesOfBatch.forEach { sample ->
            tokens += sample.tokens
            staleness.recordValue(version - sample.spans.minOf { it.weightVersion })
        }
        if (batch.groupsLeft == 0) {
            stepMilliseconds += clock.nowMilliseconds - stepStartedMilliseconds
        }
        clock.schedule(samplesOfBatch.size * scenario.trainingMilliseconds) {
            idleSinceMilliseconds = clock.nowMilliseconds
            requestBatch()
        }
    }

    private fun endStep() {
        if (step < scenario.steps) startStep() else isDone = true
    }
}
