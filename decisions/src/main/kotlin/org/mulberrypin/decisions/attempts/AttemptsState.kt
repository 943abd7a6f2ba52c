package org.mulberrypin.decisions.attempts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * State of the attempts of an instance.
 *
 * @property instance name and incarnation of this instance
 * @property queued writes that wait for a commit, at most [MAX_QUEUED_RECORDS]. When the queue is full, new attempts
 *   are refused as not run, and the result of an attempt is dropped, so that its record still says that it may have
 *   run
 * @property committing writes of the commit in progress
 * @property commitNumber number of that commit
 * @property commitStartedMilliseconds when that commit started, by the clock of this process
 * @property running rows of the running attempts by request, at most [MAX_RUNNING_ATTEMPTS]; beyond that new attempts
 *   are refused as not run
 */
public data class AttemptsState(
    val instance: String,
    val queued: PersistentList<RecordWrite> = persistentListOf(),
    val committing: PersistentList<RecordWrite> = persistentListOf(),
    val commitNumber: Long = 0,
    val commitStartedMilliseconds: Long = 0,
    val running: PersistentMap<Long, AttemptRow> = persistentMapOf(),
    val nextCommitMilliseconds: Long = Long.MIN_VALUE,
    val nextCleanupMilliseconds: Long = Long.MIN_VALUE,
)

/** Maximum number of writes that wait for a commit. */
public const val MAX_QUEUED_RECORDS: Int = 1_024

/** Maximum number of running attempts. */
public const val MAX_RUNNING_ATTEMPTS: Int = 4_096
