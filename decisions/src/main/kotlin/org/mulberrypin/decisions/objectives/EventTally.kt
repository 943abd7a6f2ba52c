package org.mulberrypin.decisions.objectives

/** The numbers of good and bad events. */
public data class EventTally(
    val good: Long = 0,
    val bad: Long = 0,
) {
    /** The number of all events. */
    public val total: Long
        get() = good + bad

    /** Returns the sums of both tallies. */
    public operator fun plus(other: EventTally): EventTally = EventTally(good + other.good, bad + other.bad)
}
