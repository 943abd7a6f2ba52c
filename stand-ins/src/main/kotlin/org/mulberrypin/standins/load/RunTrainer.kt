/** A trainer that requests rollout steps, fetches their batches and verifies every sample. */
package org.mulberrypin.standins.load

import com.linecorp.armeria.common.HttpStatus
import kotlinx.serialization.SerializationStrategy
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.PromptGroup
import org.mulberrypin.schema.generated.StepRequest

/** Runs a trainer and returns its results. Blocks the calling thread until all steps have ended. */
public fun runTrainer(
    options: TrainerOptions,
    clock: ServiceClock = systemClock(),
): TrainerReport {
    require(options.addresses.isNotEmpty()) { "TrainerOptions.addresses is empty, expected at least one address." }
    return Trainer(options, clock).run()
}

private class Trainer(
    private val options: TrainerOptions,
    private val clock: ServiceClock,
) {
    private val clients = options.addresses.map { EntryClient(it, options.key, options.timeoutMilliseconds) }
    private val latencies = latencyHistogram()
    private var tally = SampleTally()
    private var clientIndex = 0
    private var failedAttempts = 0L
    private var missingSamples = 0L
    private var completedSteps = 0
    private val failures = mutableListOf<String>()

    fun run(): TrainerReport {
        repeat(options.steps) { number -> runStep(stepRequest(options, number)) }
        return TrainerReport(
            stepsRequested = options.steps,
            stepsCompleted = completedSteps,
            samples = tally.sampleNames.size.toLong(),
            missing = missingSamples,
            duplicated = tally.duplicated,
            mismatched = tally.mismatched,
            corrupted = tally.corrupted,
            corruptionDetails = tally.corruptionDetails,
            stale = tally.stale,
            missingVersions = tally.missingVersions,
            largestStaleness = tally.largestStaleness,
            failedAttempts = failedAttempts,
            failures = failures.toList(),
            stepLatencies = latencySummary(latencies),
        )
    }

    private fun runStep(step: StepRequest) {
        val startMilliseconds = clock.readMilliseconds()
        val endMilliseconds = startMilliseconds + options.stepTimeoutMilliseconds
        val isComplete = requestStep(step, endMilliseconds) && fetchBatches(step, endMilliseconds)
        val missing = tally.missingSamples(step)
        missingSamples += missing
        if (isComplete && missing == 0L) {
            completedSteps++
            latencies.record(clock.readMilliseconds() - startMilliseconds)
        }
    }

    private fun requestStep(
        step: StepRequest,
        endMilliseconds: Long,
    ): Boolean {
        while (clock.readMilliseconds() < endMilliseconds) {
            val answer = post(STEPS_PATH, StepRequest.serializer(), step)
            if (answer != null) return !recordFailure(answer)
        }
        return false
    }

    private fun fetchBatches(
        step: StepRequest,
        endMilliseconds: Long,
    ): Boolean {
        while (clock.readMilliseconds() < endMilliseconds) {
            val acknowledged = tally.acknowledgedBatches.getOrDefault(step.step, 0)
            val request = BatchRequest(options.trainer, step.step, acknowledged, options.readVersion())
            val answer = post(BATCHES_PATH, BatchRequest.serializer(), request) ?: continue
            answer.batch?.let { tally = tally.addBatch(step, it) }
            if (answer.complete || recordFailure(answer)) return answer.complete
            if (answer.batch == null) pause(answer.retryAfterMilliseconds.coerceAtLeast(1))
        }
        return false
    }

    private fun recordFailure(answer: BatchAnswer): Boolean {
        if (answer.failure.isNotEmpty()) failures += answer.failure
        return answer.failure.isNotEmpty()
    }

    /** Posts a message and parses the response. Without a valid response, switches to the next address and pauses. */
    private fun <Message> post(
        path: String,
        serializer: SerializationStrategy<Message>,
        message: Message,
    ): BatchAnswer? {
        val client = clients[clientIndex % clients.size]
        val response = client.post(path, wireJson.encodeToString(serializer, message), emptyMap()) { }
        val answer = response?.takeIf(::hasBatchAnswer)?.let(::parseAnswer)
        if (answer == null) {
            clientIndex++
            failedAttempts++
            pause(options.retryPauseMilliseconds)
        }
        return answer
    }

    private fun pause(milliseconds: Long) {
        Thread.sleep(milliseconds)
    }
}

private fun hasBatchAnswer(response: EntryResponse): Boolean =
    response.status.isSuccess || response.status == HttpStatus.CONFLICT

private fun parseAnswer(response: EntryResponse): BatchAnswer? =
    when (val answer = parseWireJson(response.body, BatchAnswer.serializer(), "batch", "entry instance")) {
        is Outcome.Success -> answer.value
        is Outcome.Failure -> null
    }

private fun stepRequest(
    options: TrainerOptions,
    number: Int,
): StepRequest {
    val step = "${options.trainer}-${options.seed}-$number"
    return StepRequest(
        trainer = options.trainer,
        step = step,
        model = options.model,
        groups = List(options.groupsPerStep) { group ->
            PromptGroup("group-$group", "Step $step, note $group: grade this grain.", options.samplesPerGroup)
        },
        stalenessBound = options.stalenessBound,
        trainerVersion = options.readVersion(),
        maxTokens = options.maxTokens,
        deadlineMilliseconds = options.stepTimeoutMilliseconds,
    )
}

private const val STEPS_PATH = "/v1/rollouts/steps"
private const val BATCHES_PATH = "/v1/rollouts/batches"
