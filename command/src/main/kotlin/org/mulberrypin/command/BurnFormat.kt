package org.mulberrypin.command

/** Output format of the burn report; the values are those of the `--format` option. */
internal enum class BurnFormat {
    /** A plain-text table for a terminal. */
    TEXT,

    /** The report message as indented JSON. */
    JSON,

    /** An HTML page with a plot. */
    PAGE,
}
