/** A trainer that asks for steps, takes their batches and checks every sample. */
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

/** Runs the trainer of [options] and returns, once all steps have ended, what it saw. Blocks the calling thread. */
public fun runTrainer(
    options: TrainerOptions,
    clock: ServiceClock = systemClock(),
): TrainerReport {
    require(options.addresses.isNotEmpty()) { "Expected an entry instance to ask, found none." }
    return Trainer(options, clock).run()
}

private class Trainer(
    private val options: TrainerOptions,
    private val clock: ServiceClock,
) {
    private val clients = options.addresses.map { EntryClient(it, options.key, options.timeoutMilliseconds) }
    private val latencies = latencyHistogram()
    private var tally = SampleTally()
    private var turn = 0
    private var failedAttempts = 0L
    private var lost = 0L
    private var stepsWhole = 0
    private val failures = mutableListOf<String>()

    fun run(): TrainerReport {
        repeat(options.steps) { number -> runStep(stepRequest(options, number)) }
        return TrainerReport(
            stepsAsked = options.steps,
            stepsWhole = stepsWhole,
            samples = tally.names.size.toLong(),
            lost = lost,
            doubled = tally.doubled,
            crossed = tally.crossed,
            damaged = tally.damaged,
            damages = tally.damages,
            stale = tally.stale,
            unnamed = tally.unnamed,
            largestStaleness = tally.largestStaleness,
            failedAttempts = failedAttempts,
            failures = failures.toList(),
            stepLatencies = latencySummary(latencies),
        )
    }

    private fun runStep(step: StepRequest) {
        val startMilliseconds = clock.readMilliseconds()
        val endMilliseconds = startMilliseconds + options.stepMilliseconds
        val isComplete = ask(step, endMilliseconds) && takeBatches(step, endMilliseconds)
        val missing = tally.missing(step)
        lost += missing
        if (isComplete && missing == 0L) {
            stepsWhole++
            latencies.record(clock.readMilliseconds() - startMilliseconds)
        }
    }

    private fun ask(
        step: StepRequest,
        endMilliseconds: Long,
    ): Boolean {
        while (clock.readMilliseconds() < endMilliseconds) {
            val answer = post(STEPS_PATH, StepRequest.serializer(), step)
            if (answer != null) return !hasFailed(answer)
        }
        return false
    }

    private fun takeBatches(
        step: StepRequest,
        endMilliseconds: Long,
    ): Boolean {
        while (clock.readMilliseconds() < endMilliseconds) {
            val acknowledged = tally.acknowledged.getOrDefault(step.step, 0)
            val request = BatchRequest(options.trainer, step.step, acknowledged, options.readVersion())
            val answer = post(BATCHES_PATH, BatchRequest.serializer(), request) ?: continue
            answer.batch?.let { tally = tally.take(step, it) }
            if (answer.complete || hasFailed(answer)) return answer.complete
            if (answer.batch == null) pause(answer.retryAfterMilliseconds.coerceAtLeast(1))
        }
        return false
    }

    private fun hasFailed(answer: BatchAnswer): Boolean {
        if (answer.failure.isNotEmpty()) failures += answer.failure
        return answer.failure.isNotEmpty()
    }

    /** Sends a message and reads the answer; when there is none it pauses and turns to the next address. */
    private fun <Message> post(
        path: String,
        serializer: SerializationStrategy<Message>,
        message: Message,
    ): BatchAnswer? {
        val client = clients[turn % clients.size]
        val response = client.post(path, wireJson.encodeToString(serializer, message), emptyMap()) { }
        val answer = response?.takeIf(::isAnswer)?.let(::readAnswer)
        if (answer == null) {
            turn++
            failedAttempts++
            pause(options.retryPauseMilliseconds)
        }
        return answer
    }

    private fun pause(milliseconds: Long) {
        Thread.sleep(milliseconds)
    }
}

private fun isAnswer(response: EntryResponse): Boolean =
    response.status.isSuccess || response.status == HttpStatus.CONFLICT

private fun readAnswer(response: EntryResponse): BatchAnswer? =
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
        groups = List(options.groupsOfStep) { group ->
            PromptGroup("group-$group", "Step $step, note $group: grade this grain.", options.samplesOfGroup)
        },
        stalenessBound = options.stalenessBound,
        trainerVersion = options.readVersion(),
        maxTokens = options.maxTokens,
        deadlineMilliseconds = options.stepMilliseconds,
    )
}

private const val STEPS_PATH = "/v1/rollouts/steps"
private const val BATCHES_PATH = "/v1/rollouts/batches"
