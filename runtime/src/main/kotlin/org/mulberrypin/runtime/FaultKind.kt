package org.mulberrypin.runtime

/** What is known about the effect of a step that failed. */
public enum class FaultKind {
    /** The peer refused the step; it took no effect and repeating it unchanged cannot help. */
    REFUSED,

    /** A condition of the step did not hold; it took no effect. */
    CONFLICT,

    /** The step never reached the peer; it took no effect and may be repeated. */
    NOT_RUN,

    /** The answer was lost; the step may have taken effect. */
    UNKNOWN,
}
