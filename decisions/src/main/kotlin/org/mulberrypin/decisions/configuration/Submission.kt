package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.ConfigurationPatch

/** How far the patch of an operator has got. */
public enum class SubmissionStage {
    /** A read of the table service is awaited, since the patch expects a newer version than the one in force here. */
    READING,

    /** A majority of the instances is asked whether it can be reached. */
    PREPARING,

    /** The commit is under way or its answer was lost. */
    COMMITTING,

    /** The patch is committed, and the instances are asked to confirm it. */
    CONFIRMING,
}

/**
 * The patch of an operator who waits for an answer.
 *
 * @property wallMilliseconds when the patch arrived, in milliseconds since the Unix epoch
 * @property startMilliseconds when the patch arrived, by the clock of this process
 * @property accepted the patch as it is committed, from the stage COMMITTING on
 * @property commitUncertain true once the answer of a commit was lost
 * @property nextStepMilliseconds when a commit or an announcement is repeated
 */
public data class Submission(
    val patch: ConfigurationPatch,
    val wallMilliseconds: Long,
    val startMilliseconds: Long,
    val stage: SubmissionStage,
    val accepted: AcceptedPatch? = null,
    val commitUncertain: Boolean = false,
    val committedMilliseconds: Long = 0,
    val nextStepMilliseconds: Long = Long.MAX_VALUE,
)
