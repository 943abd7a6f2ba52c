package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.StepRecord
import org.mulberrypin.schema.generated.StepRequest

/**
 * A step that this instance holds. Each group of the request is in exactly one of [waiting], [running], [ready],
 * [abandoned], the frozen batch, or the delivered groups of [record]; groups go by their index in the request.
 *
 * @property promptDigests digests of the groups' prompts, by which their lengths are predicted
 * @property record the record as this instance last wrote it, with the version of its row
 * @property pace the trainer's weight version
 * @property keyName name of the key of the trainer's newest call
 * @property abandoned groups given up after too many attempts, with the reason
 * @property frozenBatch the batch that was fixed and is not acknowledged
 * @property work what the step is waiting for
 * @property asks calls that wait until [work] is done, at most [STEP_ASK_LIMIT]
 * @property nextAttempt number of the next attempt at any group
 * @property additionalSamplesLeft additional samples that may still be granted
 * @property lastAskMilliseconds when the trainer last called, by the clock of this process
 */
public data class HeldStep(
    val key: StepKey,
    val request: StepRequest,
    val promptDigests: List<Long>,
    val lease: StepLease,
    val record: Versioned<StepRecord>,
    val pace: VersionPace,
    val keyName: String,
    val waiting: PersistentMap<Int, WaitingGroup>,
    val running: PersistentMap<Int, RunningGroup> = persistentMapOf(),
    val ready: PersistentMap<Int, ReadyGroup> = persistentMapOf(),
    val abandoned: PersistentMap<Int, String> = persistentMapOf(),
    val frozenBatch: Batch? = null,
    val work: StepWork = StepWork.None,
    val asks: PersistentList<TrainerAsk.NextBatch> = persistentListOf(),
    val nextAttempt: Int = 1,
    val additionalSamplesLeft: Int = 0,
    val lastAskMilliseconds: Long = 0,
) {
    /** The oldest weight version that may stand in a sample delivered now. */
    public val minimumVersion: Long
        get() = minimumVersionFor(pace.version)

    /** Samples that instances are generating, attempts counted singly. */
    public val samplesUnderWay: Int
        get() = running.entries.sumOf { (group, state) -> request.groups[group].samples * state.attempts.size }

    /** Characters of the groups that wait for the trainer. */
    public val readyCharacters: Long
        get() = ready.values.sumOf { it.characters }

    /** The oldest weight version that may stand in a sample when the trainer is at [trainerVersion]. */
    public fun minimumVersionFor(trainerVersion: Long): Long = trainerVersion - request.stalenessBound
}

/** Calls about one step that wait at the same time at most; a further one is told to ask again. */
public const val STEP_ASK_LIMIT: Int = 8
