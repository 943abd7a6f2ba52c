/**
 * The tree along which announcements travel. The sender of an announcement is responsible for a range of the hash
 * circle. It splits the members in its range into a few groups and hands each group, as a range of its own, to one of
 * the group's members. Ranges never overlap, so each instance is asked and counted at most once, even while instances
 * have different lists of members.
 */
package org.mulberrypin.decisions.configuration

/**
 * A part of the hash circle.
 *
 * @property from first position
 * @property to end, exclusive
 */
public data class HashRange(
    val from: Long,
    val to: Long,
) {
    internal fun covers(member: Member): Boolean = member.position in from until to
}

/**
 * A range for which a member of it is made responsible.
 *
 * @property candidates members to ask, in this order, until one can be reached
 */
public data class Delegation(
    val range: HashRange,
    val candidates: List<Member>,
)

/** The whole hash circle. */
public val wholeRange: HashRange = HashRange(0, POSITIONS)

/** A range without members: the receiver answers for itself alone. */
public val emptyRange: HashRange = HashRange(0, 0)

/**
 * Splits [range] among its [members], which are in the order of their positions. No part contains [position], that of
 * the sender: it would otherwise be asked, and counted, by those it has asked.
 *
 * @param seed decides which member of a group is asked first, so that the work is spread over the instances
 */
public fun delegate(
    members: List<Member>,
    range: HashRange,
    position: Long,
    seed: Long,
): List<Delegation> {
    val arcs = when (position) {
        in range.from until range.to -> listOf(HashRange(range.from, position), HashRange(position + 1, range.to))
        else -> listOf(range)
    }
    val coveredByArc = arcs.map { arc -> arc to members.filter(arc::covers) }
    val covered = coveredByArc.sumOf { it.second.size }
    val size = ((covered + DELEGATION_LIMIT - 1) / DELEGATION_LIMIT).coerceAtLeast(1)
    return coveredByArc.flatMap { (arc, inArc) -> split(arc, inArc.chunked(size), seed) }
}

private fun split(
    arc: HashRange,
    groups: List<List<Member>>,
    seed: Long,
): List<Delegation> =
    groups.mapIndexed { index, group ->
        val from = if (index == 0) arc.from else group.first().position
        val to = if (index == groups.lastIndex) arc.to else groups[index + 1].first().position
        val start = Math.floorMod(seed, group.size.toLong()).toInt()
        Delegation(HashRange(from, to), (group.drop(start) + group.take(start)).take(CANDIDATE_LIMIT))
    }

/** Groups into which a range is split, apart from one more around the sender. */
public const val DELEGATION_LIMIT: Int = 4

private const val CANDIDATE_LIMIT = 3
