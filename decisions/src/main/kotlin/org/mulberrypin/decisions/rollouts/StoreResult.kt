package org.mulberrypin.decisions.rollouts

/** Outcome of a write to the platform's storage. */
public enum class StoreResult {
    /** All rows were written. */
    COMMITTED,

    /** A condition was not met; this attempt wrote nothing. */
    CONFLICT,

    /** The outcome is unknown: the write failed or its answer was lost; it may have taken effect or may still do so. */
    FAILED,
}
