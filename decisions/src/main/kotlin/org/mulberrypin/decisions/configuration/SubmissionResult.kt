package org.mulberrypin.decisions.configuration

/** Result of a submitted patch, returned to the operator. */
public sealed interface SubmissionResult {
    /** The patch is based on another version; nothing was changed. */
    public data class VersionConflict(
        val expectedVersion: Long,
        val currentVersion: Long,
    ) : SubmissionResult

    /** The patch is invalid for the stated [faults]; nothing was changed. */
    public data class Invalid(
        val expectedVersion: Long,
        val currentVersion: Long,
        val faults: List<String>,
    ) : SubmissionResult

    /** Nothing was changed, for example because the table service or a majority of the instances is unreachable. */
    public data class NotRun(
        val reason: String,
        val currentVersion: Long,
    ) : SubmissionResult

    /**
     * The patch is accepted: a majority of the instances has confirmed it. No instance serves under an older version
     * once [ConfigurationTimeLimits.forceMilliseconds] have passed.
     *
     * @property inForce true when every listed instance has confirmed the version
     */
    public data class Accepted(
        val version: Long,
        val inForce: Boolean,
    ) : SubmissionResult

    /**
     * The patch was or may have been committed, and no majority confirmed it in time. It is not accepted: instances
     * that reach a majority but not the table service may serve under the older version until their grace period ends.
     */
    public data class Unconfirmed(
        val version: Long,
        val reason: String,
    ) : SubmissionResult
}
