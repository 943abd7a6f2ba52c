package org.mulberrypin.decisions.checks

/** How a finding affects the configuration. */
public enum class FindingKind {
    /** The entry is invalid, and the service refuses or ignores it. */
    ERROR,

    /** The entry is valid, but no request ever reaches it. */
    NEVER_MATCHES,

    /** Two limits cannot both have an effect. */
    CONTRADICTION,
}
