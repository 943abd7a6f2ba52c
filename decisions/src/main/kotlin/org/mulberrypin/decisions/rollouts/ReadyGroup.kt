package org.mulberrypin.decisions.rollouts

import org.mulberrypin.schema.generated.SampleGroup

/**
 * A completed group that has not been delivered to the trainer.
 *
 * @property groupFailures earlier attempts whose failure was caused by the group itself
 * @property oldestVersion oldest weight version that produced a token of the group
 */
public data class ReadyGroup(
    val group: SampleGroup,
    val groupFailures: Int,
    val oldestVersion: Long,
) {
    /** Number of characters in all samples; the memory for completed groups is limited by it. */
    public val characters: Long
        get() = group.samples.sumOf { it.text.length.toLong() }
}

/** Returns the oldest weight version that produced a token of the group. */
public fun SampleGroup.oldestVersion(): Long = samples.minOf { sample -> sample.spans.minOf { it.weightVersion } }
