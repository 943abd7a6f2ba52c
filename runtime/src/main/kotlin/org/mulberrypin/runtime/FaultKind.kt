package org.mulberrypin.runtime

/** Classifies a failed operation by whether it may have taken effect. */
public enum class FaultKind {
    /** The peer rejected the operation. It had no effect, and repeating it unchanged cannot succeed. */
    REFUSED,

    /** A precondition of the operation did not hold. It had no effect. */
    CONFLICT,

    /** The operation did not reach the peer. It had no effect and may be repeated. */
    NOT_RUN,

    /** The response was lost. The operation may have taken effect. */
    UNKNOWN,

    /** The peer closed or reset the connection after the operation had been sent. It may have taken effect. */
    CONNECTION_LOST,
}
