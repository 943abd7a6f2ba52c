package org.mulberrypin.decisions.rollouts

/** What is known after a write to the platform's storage. */
public enum class StoreResult {
    /** All rows were written. */
    COMMITTED,

    /** A condition did not hold; nothing was written by this attempt. */
    CONFLICT,

    /** The write failed or its answer was lost; it may have taken effect or may still do so. */
    FAILED,
}
