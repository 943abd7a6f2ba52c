package org.mulberrypin.decisions.traffic

/** Decisions under load that are counted for the operator. */
public enum class LoadDecision {
    /** A running task whose group no longer counts gave up its slot. */
    YIELDED,

    /** A request was refused at once since it could not be served in time. */
    REFUSED_AT_ONCE,

    /** A retry was not made, since its pool's budget was spent. */
    RETRY_WITHHELD,
}
