package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.SampleGroup

/**
 * A whole group that waits for the trainer.
 *
 * @property faults earlier attempts that failed through the group itself
 * @property oldestVersion oldest weight version that produced a token of the group
 */
public data class ReadyGroup(
    val group: SampleGroup,
    val faults: Int,
    val oldestVersion: Long,
) {
    /** Characters of all samples, by which the memory of finished groups is bounded. */
    public val characters: Long
        get() = group.samples.sumOf { it.text.length.toLong() }
}

/** The oldest weight version that produced a token of the group. */
public fun SampleGroup.oldestVersion(): Long = samples.minOf { sample -> sample.spans.minOf { it.weightVersion } }
