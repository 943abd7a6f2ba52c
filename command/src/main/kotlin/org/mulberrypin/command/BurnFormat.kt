package org.mulberrypin.command

/** Form of the burn report. */
internal enum class BurnFormat {
    /** Lines for a terminal. */
    TEXT,

    /** The report as the instance sends it. */
    JSON,

    /** A page with a plot, for a browser. */
    PAGE,
}
