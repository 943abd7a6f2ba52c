package org.mulberrypin.decisions.ordering

/** Whether the trainer is expected to wait for a group, in the order in which groups are served. */
public enum class GroupStanding {
    /** The trainer waits for the group. */
    COUNTS,

    /** The trainer waits for other groups, but some of them have no whole texts yet. */
    SPARE,

    /** All groups that the trainer waits for have their texts. */
    YIELDS,
}
