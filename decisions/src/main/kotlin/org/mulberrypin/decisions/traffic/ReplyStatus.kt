package org.mulberrypin.decisions.traffic

/** Statuses of HTTP answers that entry instances give or tell apart. */
public object ReplyStatus {
    public const val OK: Int = 200
    public const val ACCEPTED: Int = 202

    /** The first status that is no success. */
    public const val REDIRECTION: Int = 300

    /** The first status that is an error. */
    public const val BAD_REQUEST: Int = 400
    public const val UNAUTHORIZED: Int = 401
    public const val NOT_FOUND: Int = 404
    public const val CONFLICT: Int = 409
    public const val UNPROCESSABLE: Int = 422

    /** The first status that is an error of the server. */
    public const val INTERNAL_ERROR: Int = 500

    /** Says nothing about whether the request has run. */
    public const val BAD_GATEWAY: Int = 502

    /** Promises that the request has not run and never will. */
    public const val UNAVAILABLE: Int = 503

    /** Says nothing about whether the request has run. */
    public const val GATEWAY_TIMEOUT: Int = 504
}
