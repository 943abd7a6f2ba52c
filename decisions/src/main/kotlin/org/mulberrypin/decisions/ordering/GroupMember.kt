package org.mulberrypin.decisions.ordering

/**
 * A task of a group, as far as the order of work depends on it.
 *
 * @property remainingEvents events that its text is expected to need beyond those that it has; 0 once it is complete
 * @property isWaiting true if the task may start now
 */
public data class GroupMember(
    val task: String,
    val group: String,
    val remainingEvents: Long,
    val isWaiting: Boolean,
)
