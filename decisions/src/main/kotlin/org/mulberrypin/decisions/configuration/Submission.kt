package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.ConfigurationPatch

/** Processing stage of a submitted patch. */
public enum class SubmissionStage {
    /** Waits for a read of the table service, because the patch expects a version newer than the local one. */
    READING,

    /** Checks that a majority of the instances is reachable. */
    PREPARING,

    /** The commit is in progress, or its response was lost. */
    COMMITTING,

    /** The patch is committed, and confirmations of the instances are collected. */
    CONFIRMING,
}

/**
 * A submitted patch whose result the operator is waiting for.
 *
 * @property wallMilliseconds arrival time in milliseconds since the Unix epoch
 * @property startMilliseconds arrival time, or start of the stage for a repeated READING or for CONFIRMING, by the
 * clock of this process; reads and timeouts are measured against it
 * @property accepted the patch in the form in which it is committed, or null before validation
 * @property commitResultUnknown true once the response to a commit was lost
 * @property committedMilliseconds time at which the result of the commit arrived, by the clock of this process
 * @property nextRetryMilliseconds time at which the commit or the announcement is retried
 */
public data class Submission(
    val patch: ConfigurationPatch,
    val wallMilliseconds: Long,
    val startMilliseconds: Long,
    val stage: SubmissionStage,
    val accepted: AcceptedPatch? = null,
    val commitResultUnknown: Boolean = false,
    val committedMilliseconds: Long = 0,
    val nextRetryMilliseconds: Long = Long.MAX_VALUE,
)
