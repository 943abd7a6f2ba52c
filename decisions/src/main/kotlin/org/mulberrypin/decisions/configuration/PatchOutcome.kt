package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.Configuration

/** The result of applying a patch to a configuration. */
public sealed interface PatchOutcome {
    /** The patch leads to [configuration], whose version is one higher. */
    public data class Accepted(
        val configuration: Configuration,
    ) : PatchOutcome

    /** The patch was made for another version than the current one. */
    public data class Stale(
        val expectedVersion: Long,
        val currentVersion: Long,
    ) : PatchOutcome

    /** The patch is faulty; each of [faults] names the place, what was found and what was expected. */
    public data class Invalid(
        val faults: List<String>,
    ) : PatchOutcome
}
