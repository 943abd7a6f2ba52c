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
 * [abandoned], the frozen batch, or the delivered groups of [record]. Maps are keyed by the index of the group in the
 * request.
 *
 * @property promptDigests digests of the groups' prompts, used as keys to predict their lengths
 * @property record the step record as this instance last read or wrote it, with its row version
 * @property versionProgress the trainer's newest weight version and the interval between its versions
 * @property keyName name of the API key used by the trainer's newest call
 * @property abandoned groups abandoned after too many failed attempts, with the reasons
 * @property frozenBatch the batch whose content is committed and that the trainer has not acknowledged
 * @property work the storage operation that the step is waiting for
 * @property calls calls queued until [work] has ended, at most [STEP_CALL_LIMIT]
 * @property nextAttempt number of the next attempt at any group
 * @property additionalSamplesLeft additional samples that can still be granted to attempts
 * @property lastCallMilliseconds time of the trainer's last call, by the clock of this process
 */
public data class HeldStep(
    val key: StepKey,
    val request: StepRequest,
    val promptDigests: List<Long>,
    val lease: StepLease,
    val record: Versioned<StepRecord>,
    val versionProgress: VersionProgress,
    val keyName: String,
    val waiting: PersistentMap<Int, WaitingGroup>,
    val running: PersistentMap<Int, RunningGroup> = persistentMapOf(),
    val ready: PersistentMap<Int, ReadyGroup> = persistentMapOf(),
    val abandoned: PersistentMap<Int, String> = persistentMapOf(),
    val frozenBatch: Batch? = null,
    val work: StepWork = StepWork.None,
    val calls: PersistentList<TrainerCall.NextBatch> = persistentListOf(),
    val nextAttempt: Int = 1,
    val additionalSamplesLeft: Int = 0,
    val lastCallMilliseconds: Long = 0,
) {
    /** The oldest weight version permitted in a sample that is delivered now. */
    public val minimumVersion: Long
        get() = minimumVersionFor(versionProgress.version)

    /** Number of samples that instances are generating; parallel attempts at a group are all counted. */
    public val samplesInFlight: Int
        get() = running.entries.sumOf { (group, state) -> request.groups[group].samples * state.attempts.size }

    /** Number of characters in the completed groups that have not been delivered. */
    public val readyCharacters: Long
        get() = ready.values.sumOf { it.characters }

    /** Returns the oldest weight version permitted in a sample when the trainer is at [trainerVersion]. */
    public fun minimumVersionFor(trainerVersion: Long): Long = trainerVersion - request.stalenessBound
}

/** Maximum number of queued calls per step; further calls are answered with a retry delay. */
public const val STEP_CALL_LIMIT: Int = 8
