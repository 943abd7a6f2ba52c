package org.mulberrypin.decisions.configuration

/** What an operator is told about a patch. */
public sealed interface SubmissionResult {
    /** The patch was made for another version; nothing was changed. */
    public data class Stale(
        val expectedVersion: Long,
        val currentVersion: Long,
    ) : SubmissionResult

    /** The patch is faulty; nothing was changed. */
    public data class Invalid(
        val expectedVersion: Long,
        val currentVersion: Long,
        val faults: List<String>,
    ) : SubmissionResult

    /** Nothing was changed, since the table service or a majority of the instances cannot be reached. */
    public data class NotRun(
        val reason: String,
        val currentVersion: Long,
    ) : SubmissionResult

    /**
     * The patch is accepted, and a majority of the instances has confirmed it. No instance serves under an older
     * version once the bound of the settings has passed.
     *
     * @property inForce true when every listed instance has confirmed it
     */
    public data class Accepted(
        val version: Long,
        val inForce: Boolean,
    ) : SubmissionResult

    /**
     * The patch was committed or may have been, and no majority has confirmed it in time. It is not accepted: instances
     * that reach a majority but not the table service may serve under the older version until their grace ends.
     */
    public data class Unconfirmed(
        val version: Long,
        val reason: String,
    ) : SubmissionResult
}
