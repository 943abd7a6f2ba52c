package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * State of the runner: the groups that this instance generates for step holders.
 *
 * @property groups assigned groups, at most [RUNNER_GROUP_LIMIT]; a further one is refused, and its holder retries it,
 *   on another instance if possible
 * @property samples samples in flight, keyed by request number
 * @property nextRequest number for the next request
 * @property nextSequence sequence number for the next assignment
 * @property newestVersion newest weight version that an engine reported for any sample
 * @property draining true while the instance shuts down and accepts no further group
 */
public data class RunnerState(
    val groups: PersistentMap<GroupAttemptKey, AssignedGroup> = persistentMapOf(),
    val samples: PersistentMap<Long, RunningSample> = persistentMapOf(),
    val nextRequest: Long = FIRST_ROLLOUT_REQUEST,
    val nextSequence: Long = 0,
    val newestVersion: Long = 0,
    val draining: Boolean = false,
)

/** Maximum number of groups, started or waiting, that are assigned to one instance. */
public const val RUNNER_GROUP_LIMIT: Int = 1024

/** First request number for rollout samples; lower numbers are reserved for requests of callers. */
public const val FIRST_ROLLOUT_REQUEST: Long = 1L shl 62
