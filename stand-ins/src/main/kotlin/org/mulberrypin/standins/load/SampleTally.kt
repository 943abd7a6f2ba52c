/** Checks the samples of a trainer as they arrive. Pure, so that the checks themselves can be tested. */
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
 * @property names names of all samples that were delivered
 * @property acknowledged number of the last batch that was taken of each step, by step
 * @property damages how the first damaged samples differ from their whole answers, at most [LISTED_DAMAGES]
 * @property groupSamples samples that came of each group, by step and group
 */
internal data class SampleTally(
    val names: PersistentSet<String> = persistentSetOf(),
    val acknowledged: PersistentMap<String, Long> = persistentMapOf(),
    val groupSamples: PersistentMap<String, Int> = persistentMapOf(),
    val doubled: Long = 0,
    val crossed: Long = 0,
    val damaged: Long = 0,
    val damages: PersistentList<String> = persistentListOf(),
    val stale: Long = 0,
    val unnamed: Long = 0,
    val largestStaleness: Long = 0,
)

/** Takes [batch] of [step] and checks its samples. A batch that was taken before is passed over: it was sent again. */
internal fun SampleTally.take(
    step: StepRequest,
    batch: Batch,
): SampleTally {
    if (batch.number <= acknowledged.getOrDefault(step.step, 0)) return this
    val taken = copy(acknowledged = acknowledged.put(step.step, batch.number))
    return batch.groups.fold(taken) { tally, group ->
        group.samples.fold(tally) { counted, sample -> counted.takeSample(step, batch, group.group, sample) }
    }
}

/** Samples of [step] that did not come. */
internal fun SampleTally.missing(step: StepRequest): Long =
    step.groups.sumOf { group ->
        (group.samples - groupSamples.getOrDefault(groupKey(step, group.group), 0)).coerceAtLeast(0).toLong()
    }

private fun SampleTally.takeSample(
    step: StepRequest,
    batch: Batch,
    groupName: String,
    sample: Sample,
): SampleTally {
    val group = step.groups.firstOrNull { it.group == groupName }
    val key = groupKey(step, groupName)
    val came = groupSamples.getOrDefault(key, 0) + 1
    val isSurplus = sample.sample in names || group == null || came > group.samples
    if (isSurplus) return copy(doubled = doubled + 1)
    val check = checkAnswer(group.prompt, sample.text, step.maxTokens)
    val isDamaged = check == AnswerCheck.DAMAGED || check == AnswerCheck.DOUBLED
    val difference = if (isDamaged) describeDifference(group.prompt, sample.text, step.maxTokens) else ""
    val staleness = sample.spans.maxOfOrNull { batch.trainerVersion - it.weightVersion } ?: 0
    return copy(
        names = names.add(sample.sample),
        groupSamples = groupSamples.put(key, came),
        crossed = crossed + countIf(check == AnswerCheck.CROSSED),
        damaged = damaged + countIf(isDamaged),
        damages = if (isDamaged && damages.size < LISTED_DAMAGES) {
            damages.add("${sample.sample} spans=${sample.spans}: $difference")
        } else {
            damages
        },
        stale = stale + countIf(staleness > step.stalenessBound),
        unnamed = unnamed + countIf(sample.spans.sumOf { it.tokens } != sample.tokens || sample.tokens == 0L),
        largestStaleness = maxOf(largestStaleness, staleness),
    )
}

private fun groupKey(
    step: StepRequest,
    group: String,
): String = "${step.step}/$group"

private fun countIf(condition: Boolean): Long = if (condition) 1 else 0

/** Damaged samples that a report describes. */
private const val LISTED_DAMAGES = 8
