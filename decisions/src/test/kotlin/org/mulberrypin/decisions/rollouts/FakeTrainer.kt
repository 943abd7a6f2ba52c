package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.Sample
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.WeightSpan

/** A trainer that keeps to the protocol and checks every promise on what it gets. */
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
    private var sentAt = 0L
    private val namesTaken = mutableSetOf<String>()
    private val frozen = mutableMapOf<Long, List<String>>()

    fun mayAsk(
        now: Long,
        timeoutMilliseconds: Long,
    ): Boolean = !isComplete && (!isWaiting || now - sentAt > timeoutMilliseconds)

    /** Starts a new call, whose answers are taken by the function answered; answers to older calls are ignored. */
    fun nextCall(now: Long): Pair<(Long) -> TrainerAsk, (BatchAnswer) -> Unit> {
        val call = ++newestCall
        val asked = version
        isWaiting = true
        sentAt = now
        val numbered: (Long) -> TrainerAsk = if (isStarted) {
            val batchRequest = BatchRequest(key.trainer, key.step, acknowledged, asked, key.team, request.keyName)
            ({ TrainerAsk.NextBatch(it, batchRequest, passedOn = false) })
        } else {
            ({ TrainerAsk.Open(it, request) })
        }
        return numbered to { answer -> take(call, asked, answer) }
    }

    private fun take(
        call: Int,
        asked: Long,
        answer: BatchAnswer,
    ) {
        answer.batch?.let { checkFrozen(it, asked) }
        if (call == newestCall && isWaiting) {
            isWaiting = false
            val isUnknown = "unknown" in answer.failure
            check(answer.failure.isEmpty() || isUnknown) { "Refused: ${answer.failure}" }
            isStarted = !isUnknown
            isComplete = answer.complete
            answer.batch?.let { takeBatch(it) }
        }
    }

    private fun checkFrozen(
        batch: Batch,
        asked: Long,
    ) {
        val samples = batch.groups.flatMap { it.samples }
        val names = samples.map { it.sample }
        check(frozen.getOrPut(batch.number) { names } == names) { "Batch ${batch.number} changed." }
        samples.forEach { sample ->
            val spans = sample.spans
            check(spans == spansOf(sample.sample)) { "Sample ${sample.sample} names $spans." }
            check(spans.sumOf { it.tokens } == sample.tokens) { "The spans of ${sample.sample} do not add up." }
            check(sample.text.length.toLong() == sample.tokens) { "The text of ${sample.sample} is not whole." }
            check(
                spans.all { it.weightVersion >= asked - request.stalenessBound },
            ) { "Sample ${sample.sample} is too old." }
        }
    }

    private fun takeBatch(batch: Batch) {
        check(batch.number > acknowledged) { "Batch ${batch.number} came after $acknowledged." }
        acknowledged = batch.number
        batch.groups.forEach { group ->
            check(delivered.put(group.group, group.samples) == null) { "Group ${group.group} came twice." }
            group.samples.forEach { check(namesTaken.add(it.sample)) { "Sample ${it.sample} came twice." } }
        }
    }

    /** Checks that every group came with all of its samples. */
    fun checkWhole() {
        check(isComplete) { "The step did not end." }
        request.groups.forEach { group ->
            check(delivered[group.group]?.size == group.samples) { "Group ${group.group} is not whole." }
        }
    }
}
