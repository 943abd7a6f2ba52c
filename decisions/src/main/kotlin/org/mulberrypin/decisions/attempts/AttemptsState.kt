package org.mulberrypin.decisions.attempts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The attempts of one instance.
 *
 * @property instance name and incarnation of this instance
 * @property waiting records that are not written yet, at most [WAITING_LIMIT]; beyond it new attempts are refused as
 * not run, and the end of an attempt is dropped, so that its record goes on to say that it may have run
 * @property committing records in the commit that is under way
 * @property commitNumber number of that commit
 * @property commitMilliseconds when that commit was started
 * @property running the records of attempts that run, by request, at most [RUNNING_LIMIT]; beyond it new attempts are
 * refused as not run
 */
public data class AttemptsState(
    val instance: String,
    val waiting: PersistentList<AttemptOperation> = persistentListOf(),
    val committing: PersistentList<AttemptOperation> = persistentListOf(),
    val commitNumber: Long = 0,
    val commitMilliseconds: Long = 0,
    val running: PersistentMap<Long, AttemptRow> = persistentMapOf(),
    val nextCommitMilliseconds: Long = Long.MIN_VALUE,
    val nextForgetMilliseconds: Long = Long.MIN_VALUE,
)

/** Records that wait to be written at most. */
public const val WAITING_LIMIT: Int = 1_024

/** Attempts that run at the same time at most. */
public const val RUNNING_LIMIT: Int = 4_096
