package org.mulberrypin.decisions.ordering

/**
 * What the order of a job's tasks depends on beside the tasks.
 *
 * @property wantedGroups number of whole groups that the trainer waits for; 0 or less if it waits for all
 * @property timeLeftMilliseconds time until the results are due; null if they have no due time
 * @property eventMilliseconds time that the fastest server needs for an event; null if none has been measured of late
 * @property slots slots of the servers that may run the tasks
 */
public data class JobOutlook(
    val wantedGroups: Int,
    val timeLeftMilliseconds: Long?,
    val eventMilliseconds: Double?,
    val slots: Int,
)
