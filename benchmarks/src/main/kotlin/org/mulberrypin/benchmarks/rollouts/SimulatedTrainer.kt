package org.mulberrypin.benchmarks.rollouts

import org.HdrHistogram.Histogram
import org.mulberrypin.decisions.rollouts.TrainerAsk
import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.PromptGroup
import org.mulberrypin.schema.generated.StepRequest

/** A trainer that asks, trains on what it gets, and is idle while it has nothing to train on. */
internal class SimulatedTrainer(
    private val name: String,
    private val scenario: RolloutScenario,
    private val clock: SimulatedClock,
    private val holder: SimulatedInstance,
) {
    /** Milliseconds that each step took until its last batch was taken. */
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
        holder.ask({ TrainerAsk.Open(it, request) }) { askLater(it.retryAfterMilliseconds) }
    }

    private fun askLater(milliseconds: Long) = clock.after(milliseconds) { ask() }

    private fun ask() {
        val request = BatchRequest(name, "step-$step", acknowledged, version, team = "team")
        holder.ask({ TrainerAsk.NextBatch(it, request, passedOn = false) }, ::take)
    }

    private fun take(answer: BatchAnswer) {
        val batch = answer.batch
        when {
            batch != null -> train(batch)
            answer.complete -> endStep()
            else -> askLater(answer.retryAfterMilliseconds)
        }
    }

    private fun train(batch: Batch) {
        val taken = batch.groups.flatMap { it.samples }
        idleMilliseconds += clock.nowMilliseconds - idleSinceMilliseconds
        acknowledged = batch.number
        samples += taken.size
        taken.forEach { sample ->
            tokens += sample.tokens
            staleness.recordValue(version - sample.spans.minOf { it.weightVersion })
        }
        if (batch.groupsLeft == 0) {
            stepMilliseconds += clock.nowMilliseconds - stepStartedMilliseconds
        }
        clock.after(taken.size * scenario.trainingMilliseconds) {
            idleSinceMilliseconds = clock.nowMilliseconds
            ask()
        }
    }

    private fun endStep() {
        if (step < scenario.steps) startStep() else isDone = true
    }
}
