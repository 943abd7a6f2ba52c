/**
 * Orders the tasks of a job so that the groups that its trainer waits for are whole in time. The trainer goes on once a
 * wanted number of groups is whole; an incomplete group is worth nothing to it.
 *
 * Groups that came back from an earlier job come first in a submission, make up at most half of the wanted number and
 * are waited for in any case. Which groups those are isn't stated, so the whole first half counts.
 */
package org.mulberrypin.decisions.ordering

/**
 * Decides which groups count and in which order the waiting tasks start. [members] are all tasks of the job in the
 * order of the submission, since the position of a group is part of the decision.
 */
public fun orderTasks(
    members: List<GroupMember>,
    outlook: JobOutlook,
): JobOrder {
    val groups = groupsOf(members, outlook)
    val waiting = groups.flatMap { group -> group.members.filter { it.isWaiting }.map { WaitingMember(group, it) } }
    val queueMilliseconds = queueMilliseconds(waiting, outlook)
    val ordered = waiting.sortedWith(
        compareBy<WaitingMember> { it.group.standing }
            .thenBy { it.group.isLate }
            .thenBy { !it.group.mayBeReturned }
            .thenBy { !it.cannotWait(outlook, queueMilliseconds) }
            .thenBy { if (it.group.mayBeReturned) 0 else it.group.longestEvents }
            .thenBy { it.group.position }
            .thenByDescending { it.member.remainingEvents },
    )
    return JobOrder(
        standings = groups.associate { it.name to it.standing },
        tasks = ordered.map { RankedTask(it.member.task, it.group.standing, it.member.remainingEvents) },
    )
}

/**
 * A group of a job.
 *
 * @property position place of the group in the submission
 * @property longestEvents expected remaining events of the group's longest text
 * @property isLate true if that text can't be complete when the results are due
 */
private data class Group(
    val name: String,
    val position: Int,
    val members: List<GroupMember>,
    val longestEvents: Long,
    val isLate: Boolean,
    val mayBeReturned: Boolean,
    val standing: GroupStanding = GroupStanding.COUNTS,
)

private data class WaitingMember(
    val group: Group,
    val member: GroupMember,
)

private fun groupsOf(
    members: List<GroupMember>,
    outlook: JobOutlook,
): List<Group> {
    val groups = members
        .groupBy { it.group }
        .entries
        .mapIndexed { position, (name, tasks) ->
            val longest = tasks.maxOf { it.remainingEvents }
            Group(
                name = name,
                position = position,
                members = tasks,
                longestEvents = longest,
                isLate = isLate(longest, outlook),
                mayBeReturned = position < outlook.wantedGroups / 2,
            )
        }
    val wanted = if (outlook.wantedGroups > 0) outlook.wantedGroups else groups.size
    val (returned, others) = groups.partition { it.mayBeReturned }
    val nearestFirst = others.sortedWith(compareBy({ it.isLate }, { it.longestEvents }, { it.position }))
    val counting = returned + nearestFirst.take((wanted - returned.size).coerceAtLeast(0))
    val rest = if (counting.all { it.longestEvents == 0L }) GroupStanding.YIELDS else GroupStanding.SPARE
    val countingPositions = counting.mapTo(HashSet()) { it.position }
    return groups.map { if (it.position in countingPositions) it else it.copy(standing = rest) }
}

private fun isLate(
    events: Long,
    outlook: JobOutlook,
): Boolean {
    val timeLeft = outlook.timeLeftMilliseconds ?: return false
    return events > 0 && events * (outlook.eventMilliseconds ?: 0.0) > timeLeft
}

/** Time until the last of the tasks that count would start if they started in any order. */
private fun queueMilliseconds(
    waiting: List<WaitingMember>,
    outlook: JobOutlook,
): Double {
    val events = waiting.filter { it.group.standing == GroupStanding.COUNTS }.sumOf { it.member.remainingEvents }
    return events * (outlook.eventMilliseconds ?: 0.0) / outlook.slots.coerceAtLeast(1)
}

/** Whether the text would be late if its task started after the others that count. */
private fun WaitingMember.cannotWait(
    outlook: JobOutlook,
    queueMilliseconds: Double,
): Boolean {
    val timeLeft = outlook.timeLeftMilliseconds ?: return false
    val runMilliseconds = member.remainingEvents * (outlook.eventMilliseconds ?: 0.0)
    return !group.isLate && runMilliseconds + queueMilliseconds > timeLeft
}
