package org.mulberrypin.runtime

/** Classifies a failed step by whether it may have taken effect. */
public enum class FaultKind {
    /** The peer rejected the step. It had no effect, and repeating it unchanged cannot succeed. */
    REFUSED,

    /** A precondition of the step did not hold. It had no effect. */
    CONFLICT,

    /** The step did not reach the peer. It had no effect and may be repeated. */
    NOT_RUN,

    /** The response was lost. The step may have taken effect. */
    UNKNOWN,
}
