package org.mulberrypin.decisions.objectives

/** A number of good and of bad events. */
public data class EventTally(
    val good: Long = 0,
    val bad: Long = 0,
) {
    /** All events. */
    public val total: Long
        get() = good + bad

    /** The events of both tallies. */
    public operator fun plus(other: EventTally): EventTally = EventTally(good + other.good, bad + other.bad)
}
