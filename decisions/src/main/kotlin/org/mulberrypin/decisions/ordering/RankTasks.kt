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
    val order = if (fitsInTime(waiting, outlook, queueMilliseconds)) {
        longestFirst
    } else {
        nearestFirst { it.cannotWait(outlook, queueMilliseconds) }
    }
    val ordered = waiting.sortedWith(order)
    return JobOrder(
        standings = groups.associate { it.name to it.standing },
        tasks = ordered.map { RankedTask(it.member.task, it.group.standing, it.member.remainingEvents) },
    )
}

/** Order while all texts that count can be complete in time: a text that turns out longer has the most time left. */
private val longestFirst: Comparator<WaitingMember> =
    compareBy<WaitingMember> { it.group.standing }
        .thenBy { it.group.isLate }
        .thenByDescending { it.member.remainingEvents }
        .thenBy { it.group.position }

/** Order while some texts will be late: as many groups as possible become whole in time. */
private fun nearestFirst(cannotWait: (WaitingMember) -> Boolean): Comparator<WaitingMember> =
    compareBy<WaitingMember> { it.group.standing }
        .thenBy { it.group.isLate }
        .thenBy { !it.group.mayBeReturned }
        .thenBy { !cannotWait(it) }
        .thenBy { if (it.group.mayBeReturned) 0 else it.group.remainingEvents }
        .thenBy { it.group.position }
        .thenByDescending { it.member.remainingEvents }

/**
 * A group of a job.
 *
 * @property position place of the group in the submission
 * @property remainingEvents expected remaining events of all texts of the group
 * @property longestEvents expected remaining events of its longest text
 * @property isLate true if that text would be late even if it turned out much shorter than expected
 */
private data class Group(
    val name: String,
    val position: Int,
    val members: List<GroupMember>,
    val remainingEvents: Long,
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
                remainingEvents = tasks.sumOf { it.remainingEvents },
                longestEvents = longest,
                isLate = isLate(longest, outlook),
                mayBeReturned = position < outlook.wantedGroups / 2,
            )
        }
    val wanted = if (outlook.wantedGroups > 0) outlook.wantedGroups else groups.size
    val (returned, others) = groups.partition { it.mayBeReturned }
    val nearestFirst = others.sortedWith(compareBy({ it.isLate }, { it.remainingEvents }, { it.position }))
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
    val shortestMilliseconds = events * SHORTEST_LENGTH_SHARE * (outlook.eventMilliseconds ?: 0.0)
    return events > 0 && shortestMilliseconds > timeLeft
}

/** Time until the last of the tasks that count would start if they started in any order. */
private fun queueMilliseconds(
    waiting: List<WaitingMember>,
    outlook: JobOutlook,
): Double {
    val events = waiting.filter { it.group.standing == GroupStanding.COUNTS }.sumOf { it.member.remainingEvents }
    return events * (outlook.eventMilliseconds ?: 0.0) / outlook.slots.coerceAtLeast(1)
}

/** Whether all texts that count are expected to be complete when the results are due, in whatever order they start. */
private fun fitsInTime(
    waiting: List<WaitingMember>,
    outlook: JobOutlook,
    queueMilliseconds: Double,
): Boolean {
    val timeLeft = outlook.timeLeftMilliseconds ?: return false
    val eventMilliseconds = outlook.eventMilliseconds ?: return false
    val longest = waiting
        .filter { it.group.standing == GroupStanding.COUNTS && !it.group.isLate }
        .maxOfOrNull { it.member.remainingEvents } ?: 0
    return longest * eventMilliseconds + queueMilliseconds <= timeLeft
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

/** Share of its expected length that a text may turn out to have; length hints are often far off. */
private const val SHORTEST_LENGTH_SHARE = 0.25
