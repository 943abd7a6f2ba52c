package org.mulberrypin.decisions.division

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What one instance remembers of the steps whose jobs it ran.
 *
 * @property steps work that recent jobs asked for, by job
 * @property lastStatedMilliseconds time at which the demand was last stated
 */
public data class DemandHistory(
    val steps: PersistentMap<String, StepWork> = persistentMapOf(),
    val lastStatedMilliseconds: Long = Long.MIN_VALUE / 2,
)

/** The output tokens that a job asked for, and when it was submitted. */
public data class StepWork(
    val model: String,
    val tokens: Long,
    val submittedWallMilliseconds: Long,
)
