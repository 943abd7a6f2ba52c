package org.mulberrypin.decisions.requests

/** Why an attempt ended without a complete response. */
public enum class AttemptEnding {
    /** No byte of the request can have reached the backend server. */
    NOT_SENT,

    /** The backend server reported that it did not run the request. */
    REFUSED,

    /** The connection was lost, or the response was truncated before its end marker. */
    CUT,

    /** The backend server returned an error, or its response timed out. */
    FAILED,
}
