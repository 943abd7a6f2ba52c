package org.mulberrypin.decisions.requests

/** Why a request was not run. */
public enum class Refusal {
    /** The route does not exist or the team may not use it. */
    UNKNOWN_ROUTE,

    /** The key was withdrawn while the request waited. */
    KEY_WITHDRAWN,

    /** The instance or the team has too many requests waiting or under way. */
    OVERLOADED,

    /** The request waited longer than permitted. */
    WAITED_TOO_LONG,

    /** No backend server of the route can take work. */
    NO_BACKEND_SERVER,

    /** The content crashed backend servers and is isolated. */
    ISOLATED,

    /** The instance is shutting down. */
    LEAVING,

    /** The instance cannot tell whether its configuration is in force. */
    CONFIGURATION_UNCERTAIN,

    /** The record that must be written before the request runs cannot be written. */
    RECORD_UNAVAILABLE,
}
