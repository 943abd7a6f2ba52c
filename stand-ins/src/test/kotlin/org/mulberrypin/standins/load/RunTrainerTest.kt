package org.mulberrypin.standins.load

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.ServerBuilder
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.PromptGroup
import org.mulberrypin.schema.generated.Sample
import org.mulberrypin.schema.generated.SampleGroup
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.WeightSpan
import org.mulberrypin.standins.jsonReply
import org.mulberrypin.standins.startStandInServer
import org.mulberrypin.standins.text.generatedAnswer
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

@DisplayName("The trainer of a load test")
class RunTrainerTest {
    private val steps = ConcurrentHashMap<String, StepRequest>()
    private val calls = AtomicInteger()

    /** Creates the batch with a given number, which holds one complete group by default; tests may replace it. */
    private var batchOf: (StepRequest, Int) -> Batch = ::completeBatch
    private val server = startStandInServer(port = 0, addRoutes = ::addRoutes)
    private val options = TrainerOptions(
        addresses = listOf(server.address),
        key = "k",
        trainer = "t",
        model = "m",
        groupsPerStep = 3,
        retryPauseMilliseconds = 1,
    )

    @AfterEach
    fun stop() = server.stop()

    private fun completeBatch(
        step: StepRequest,
        number: Int,
    ): Batch {
        val group = step.groups[number - 1]
        val samples = List(group.samples) { sampleOf(step, group, it) }
        return Batch(step.trainer, step.step, number.toLong(), listOf(SampleGroup(group.group, samples)))
    }

    private fun sampleOf(
        step: StepRequest,
        group: PromptGroup,
        number: Int,
    ): Sample {
        val answer = generatedAnswer(group.prompt, number.toLong(), step.maxTokens)
        val tokens = answer.tokens.toLong()
        val name = "${step.step}/${group.group}/$number"
        return Sample(name, group.group, answer.text, listOf(WeightSpan(1, tokens)), tokens = tokens)
    }

    private fun addRoutes(builder: ServerBuilder) {
        builder.route().post("/v1/rollouts/steps").build { _, request ->
            HttpResponse.of(request.aggregate().thenApply { failEveryThirdCall { openStep(it.contentUtf8()) } })
        }
        builder.route().post("/v1/rollouts/batches").build { _, request ->
            HttpResponse.of(request.aggregate().thenApply { failEveryThirdCall { nextBatch(it.contentUtf8()) } })
        }
    }

    private fun failEveryThirdCall(answer: () -> BatchAnswer): HttpResponse {
        val response = answer()
        val isLost = calls.incrementAndGet() % 3 == 0
        return if (isLost) HttpResponse.of(HttpStatus.BAD_GATEWAY) else jsonReply(BatchAnswer.serializer(), response)
    }

    private fun openStep(body: String): BatchAnswer {
        val step = wireJson.decodeFromString(StepRequest.serializer(), body)
        steps[step.step] = step
        return BatchAnswer()
    }

    private fun nextBatch(body: String): BatchAnswer {
        val request = wireJson.decodeFromString(BatchRequest.serializer(), body)
        val step = steps.getValue(request.step)
        val isComplete = request.acknowledged == step.groups.size.toLong()
        if (isComplete) return BatchAnswer(complete = true)
        return BatchAnswer(batch = batchOf(step, request.acknowledged.toInt() + 1))
    }

    @Test
    fun `counts every sample once although every third response is lost`() {
        val report = runTrainer(options)
        expectThat(report.stepsCompleted).isEqualTo(2)
        expectThat(report.samples).isEqualTo(24)
        expectThat(
            report.missing + report.duplicated + report.mismatched + report.corrupted + report.missingVersions,
        ).isEqualTo(0)
        expectThat(report.failedAttempts).isGreaterThan(0)
    }

    @Test
    fun `counts missing samples and does not count their step as complete`() {
        batchOf = { step, number ->
            if (number == 2) Batch(step = step.step, number = 2) else completeBatch(step, number)
        }
        val report = runTrainer(options)
        expectThat(report.missing).isEqualTo(8)
        expectThat(report.stepsCompleted).isEqualTo(0)
    }

    @Test
    fun `gives up a step when no instance responds`() {
        server.stop()
        val report = runTrainer(options.copy(steps = 1, stepTimeoutMilliseconds = 50))
        expectThat(report.missing).isEqualTo(12)
        expectThat(report.failedAttempts).isGreaterThan(0)
    }
}
