package org.mulberrypin.decisions.requests

/** Why a request was not run. */
public enum class Refusal {
    /** The route does not exist, or the key does not grant access to it. */
    UNKNOWN_ROUTE,

    /** The key was withdrawn, or its team lost access to the route, while the request was queued. */
    KEY_WITHDRAWN,

    /** A request queue of the instance is full. */
    OVERLOADED,

    /** The request reached the queue timeout or its deadline before it ran. */
    WAITED_TOO_LONG,

    /** The route has no backend servers, or all attempts failed before the request ran. */
    NO_BACKEND_SERVER,

    /** The request content crashed backend servers and is isolated. */
    ISOLATED,

    /** The instance is shutting down. */
    LEAVING,

    /** The instance cannot verify that its configuration is the current one. */
    CONFIGURATION_UNCERTAIN,

    /** The attempt record that must exist before the request runs could not be written. */
    RECORD_UNAVAILABLE,
}
