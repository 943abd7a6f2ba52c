package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.Sample
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.WeightSpan

/** A trainer that follows the protocol and checks every guarantee on the batches that it receives. */
internal class FakeTrainer(
    val request: StepRequest,
    private val spansOf: (sample: String) -> List<WeightSpan>?,
) {
    val key = StepKey(request.team, request.trainer, request.step)
    val delivered = mutableMapOf<String, List<Sample>>()
    var version = request.trainerVersion
    var acknowledged = 0L
    var isComplete = false
    var isStarted = false
    private var newestCall = 0
    private var isWaiting = false
    private var sentAtMilliseconds = 0L
    private val deliveredSamples = mutableSetOf<String>()
    private val samplesByBatch = mutableMapOf<Long, List<String>>()

    fun isDue(
        nowMilliseconds: Long,
        timeoutMilliseconds: Long,
    ): Boolean = !isComplete && (!isWaiting || nowMilliseconds - sentAtMilliseconds > timeoutMilliseconds)

    /**
     * Starts a new call. Returns a function that creates it for a call number, and a function that handles its answers;
     * groups in late answers to older calls are checked but not accepted.
     */
    fun nextCall(nowMilliseconds: Long): Pair<(Long) -> TrainerCall, (BatchAnswer) -> Unit> {
        val callNumber = ++newestCall
        val trainerVersion = version
        isWaiting = true
        sentAtMilliseconds = nowMilliseconds
        val createCall: (Long) -> TrainerCall = if (isStarted) {
            val batchRequest =
                BatchRequest(key.trainer, key.step, acknowledged, trainerVersion, key.team, request.keyName)
            ({ TrainerCall.NextBatch(it, batchRequest, isForwarded = false) })
        } else {
            ({ TrainerCall.Open(it, request) })
        }
        return createCall to { answer -> handleAnswer(callNumber, trainerVersion, answer) }
    }

    private fun handleAnswer(
        callNumber: Int,
        trainerVersion: Long,
        answer: BatchAnswer,
    ) {
        answer.batch?.let { checkBatchContent(it, trainerVersion) }
        if (callNumber == newestCall && isWaiting) {
            isWaiting = false
            val isUnknown = "unknown" in answer.failure
            check(answer.failure.isEmpty() || isUnknown) { "A call was refused: ${answer.failure}" }
            isStarted = !isUnknown
            isComplete = answer.complete
            answer.batch?.let { acceptBatch(it) }
        }
    }

    private fun checkBatchContent(
        batch: Batch,
        trainerVersion: Long,
    ) {
        val samples = batch.groups.flatMap { it.samples }
        val names = samples.map { it.sample }
        check(samplesByBatch.getOrPut(batch.number) { names } == names) { "Samples of batch ${batch.number} changed." }
        samples.forEach { sample ->
            val spans = sample.spans
            check(spans == spansOf(sample.sample)) { "Sample ${sample.sample} has the wrong spans $spans." }
            check(spans.sumOf { it.tokens } == sample.tokens) { "The spans of sample ${sample.sample} do not add up." }
            check(sample.text.length.toLong() == sample.tokens) { "The text of sample ${sample.sample} is incomplete." }
            check(
                spans.all { it.weightVersion >= trainerVersion - request.stalenessBound },
            ) { "Sample ${sample.sample} violates the staleness bound." }
        }
    }

    private fun acceptBatch(batch: Batch) {
        check(batch.number > acknowledged) { "Batch ${batch.number} was delivered after batch $acknowledged." }
        acknowledged = batch.number
        batch.groups.forEach { group ->
            check(delivered.put(group.group, group.samples) == null) { "Group ${group.group} was delivered twice." }
            group.samples.forEach {
                check(deliveredSamples.add(it.sample)) { "Sample ${it.sample} was delivered twice." }
            }
        }
    }

    /** Checks that the step is complete and every group was delivered with all of its samples. */
    fun checkComplete() {
        check(isComplete) { "The step did not complete." }
        request.groups.forEach { group ->
            check(delivered[group.group]?.size == group.samples) { "Group ${group.group} is incomplete." }
        }
    }
}
