package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The groups that this instance generates for holders of steps.
 *
 * @property groups at most [RUNNER_GROUP_LIMIT]; a further one is refused, and its holder assigns it elsewhere
 * @property samples samples under way by the numbers of their requests
 * @property nextRequest number of the next request
 * @property nextSequence number of the next assignment
 * @property newestVersion newest weight version that any sample named
 * @property draining true once no further group is taken
 */
public data class RunnerState(
    val groups: PersistentMap<GroupName, AssignedGroup> = persistentMapOf(),
    val samples: PersistentMap<Long, RunningSample> = persistentMapOf(),
    val nextRequest: Long = FIRST_ROLLOUT_REQUEST,
    val nextSequence: Long = 0,
    val newestVersion: Long = 0,
    val draining: Boolean = false,
)

/** Groups that one instance generates or keeps waiting at most. */
public const val RUNNER_GROUP_LIMIT: Int = 1024

/** Number of the first request of a rollout; the numbers below are left to the front ends of callers. */
public const val FIRST_ROLLOUT_REQUEST: Long = 1L shl 62
