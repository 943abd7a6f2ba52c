package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.Configuration

/** The result of applying a patch to a configuration. */
public sealed interface PatchOutcome {
    /** The patch is valid and results in [configuration], whose version is one higher. */
    public data class Accepted(
        val configuration: Configuration,
    ) : PatchOutcome

    /** The patch is based on a version other than the current one. */
    public data class Stale(
        val expectedVersion: Long,
        val currentVersion: Long,
    ) : PatchOutcome

    /** The patch is invalid; each of [faults] states the field, the expected value and the value found. */
    public data class Invalid(
        val faults: List<String>,
    ) : PatchOutcome
}
