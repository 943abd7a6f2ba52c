/** Verifies the samples that a trainer receives. The functions are pure, so that the checks can be unit-tested. */
package org.mulberrypin.standins.load

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.Sample
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.standins.text.AnswerCheck
import org.mulberrypin.standins.text.checkAnswer
import org.mulberrypin.standins.text.describeDifference

/**
 * @property sampleNames names of all delivered samples
 * @property acknowledgedBatches number of the last received batch, by step
 * @property corruptionDetails differences of the first corrupted samples from the expected answers, at most
 * [MAXIMUM_CORRUPTION_DETAILS]
 * @property groupSamples number of samples received, by step and group
 * @property duplicated samples that were delivered again, in excess of the requested number, or for an unknown group
 * @property mismatched samples whose text answers another prompt
 * @property corrupted samples whose text is not the complete answer
 * @property stale samples with a weight version older than the staleness bound permits
 * @property missingVersions samples without a weight version for every token, or without any token
 * @property largestStaleness largest difference between the trainer's weight version and one in a sample
 */
internal data class SampleTally(
    val sampleNames: PersistentSet<String> = persistentSetOf(),
    val acknowledgedBatches: PersistentMap<String, Long> = persistentMapOf(),
    val groupSamples: PersistentMap<String, Int> = persistentMapOf(),
    val duplicated: Long = 0,
    val mismatched: Long = 0,
    val corrupted: Long = 0,
    val corruptionDetails: PersistentList<String> = persistentListOf(),
    val stale: Long = 0,
    val missingVersions: Long = 0,
    val largestStaleness: Long = 0,
)

/** Verifies the samples of [batch]. A batch that was received before is ignored, because batches may be redelivered. */
internal fun SampleTally.addBatch(
    step: StepRequest,
    batch: Batch,
): SampleTally {
    if (batch.number <= acknowledgedBatches.getOrDefault(step.step, 0)) return this
    val updated = copy(acknowledgedBatches = acknowledgedBatches.put(step.step, batch.number))
    return batch.groups.fold(updated) { tally, group ->
        group.samples.fold(tally) { counted, sample -> counted.addSample(step, batch, group.group, sample) }
    }
}

/** Number of samples of [step] that were not delivered. */
internal fun SampleTally.missingSamples(step: StepRequest): Long =
    step.groups.sumOf { group ->
        (group.samples - groupSamples.getOrDefault(groupKey(step, group.group), 0)).coerceAtLeast(0).toLong()
    }

private fun SampleTally.addSample(
    step: StepRequest,
    batch: Batch,
    groupName: String,
    sample: Sample,
): SampleTally {
    val group = step.groups.firstOrNull { it.group == groupName }
    val key = groupKey(step, groupName)
    val delivered = groupSamples.getOrDefault(key, 0) + 1
    val isSurplus = sample.sample in sampleNames || group == null || delivered > group.samples
    if (isSurplus) return copy(duplicated = duplicated + 1)
    val check = checkAnswer(group.prompt, sample.text, step.maxTokens)
    val isCorrupted = check == AnswerCheck.CORRUPTED || check == AnswerCheck.DUPLICATED
    val difference = if (isCorrupted) describeDifference(group.prompt, sample.text, step.maxTokens) else ""
    val staleness = sample.spans.maxOfOrNull { batch.trainerVersion - it.weightVersion } ?: 0
    return copy(
        sampleNames = sampleNames.add(sample.sample),
        groupSamples = groupSamples.put(key, delivered),
        mismatched = mismatched + countIf(check == AnswerCheck.MISMATCHED),
        corrupted = corrupted + countIf(isCorrupted),
        corruptionDetails = if (isCorrupted && corruptionDetails.size < MAXIMUM_CORRUPTION_DETAILS) {
            corruptionDetails.add("${sample.sample} spans=${sample.spans}: $difference")
        } else {
            corruptionDetails
        },
        stale = stale + countIf(staleness > step.stalenessBound),
        missingVersions = missingVersions +
            countIf(sample.spans.sumOf { it.tokens } != sample.tokens || sample.tokens == 0L),
        largestStaleness = maxOf(largestStaleness, staleness),
    )
}

private fun groupKey(
    step: StepRequest,
    group: String,
): String = "${step.step}/$group"

private fun countIf(condition: Boolean): Long = if (condition) 1 else 0

/** Maximum number of corrupted samples that a report describes. */
private const val MAXIMUM_CORRUPTION_DETAILS = 8
