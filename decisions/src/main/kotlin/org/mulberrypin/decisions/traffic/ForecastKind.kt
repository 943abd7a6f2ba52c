package org.mulberrypin.decisions.traffic

/** What was forecast when a server was chosen. */
public enum class ForecastKind {
    /** Time from sending a request or scoring call to its answer. */
    REQUEST,

    /** Time from sending a task to the end of its text. */
    TEXT,

    /** Time that moving a running text to another engine saves. */
    MOVE_GAIN,
}
