package org.mulberrypin.decisions.requests

/** How an attempt ended without a whole answer. */
public enum class AttemptEnding {
    /** No byte of the request can have reached the backend server. */
    NOT_SENT,

    /** The backend server said that it did not run the request. */
    REFUSED,

    /** The connection broke, or the answer ended before its end mark. */
    CUT,

    /** The backend server answered with an error of its own. */
    FAILED,
}
