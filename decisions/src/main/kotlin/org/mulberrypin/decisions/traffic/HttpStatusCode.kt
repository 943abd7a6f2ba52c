package org.mulberrypin.decisions.traffic

/** HTTP status codes that entry instances send or distinguish. */
public object HttpStatusCode {
    public const val OK: Int = 200
    public const val ACCEPTED: Int = 202

    /** Lowest status that is not a success. */
    public const val REDIRECTION: Int = 300

    /** Lowest status that is an error. */
    public const val BAD_REQUEST: Int = 400
    public const val UNAUTHORIZED: Int = 401
    public const val NOT_FOUND: Int = 404

    /** Guarantees that the request has not run and will not run. */
    public const val REQUEST_TIMEOUT: Int = 408
    public const val CONFLICT: Int = 409

    /** Guarantees that the request has not run and will not run. */
    public const val MISDIRECTED: Int = 421
    public const val UNPROCESSABLE: Int = 422

    /** Guarantees that the request has not run and will not run. */
    public const val TOO_MANY_REQUESTS: Int = 429

    /** Lowest status that is a server error. */
    public const val INTERNAL_ERROR: Int = 500

    /** Leaves open whether the request has run. */
    public const val BAD_GATEWAY: Int = 502

    /** Guarantees that the request has not run and will not run. */
    public const val UNAVAILABLE: Int = 503

    /** Leaves open whether the request has run. */
    public const val GATEWAY_TIMEOUT: Int = 504
}
