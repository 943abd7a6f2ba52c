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
 * Splits [range] among its [members], which are in the order of their positions.
 *
 * @param seed decides which member of a group is asked first, so that the work is spread over the instances
 */
public fun delegate(
    members: List<Member>,
    range: HashRange,
    seed: Long,
): List<Delegation> {
    val covered = members.filter(range::covers)
    if (covered.isEmpty()) return emptyList()
    val size = (covered.size + DELEGATION_LIMIT - 1) / DELEGATION_LIMIT
    val groups = covered.chunked(size)
    return groups.mapIndexed { index, group ->
        val from = if (index == 0) range.from else group.first().position
        val to = if (index == groups.lastIndex) range.to else groups[index + 1].first().position
        val start = Math.floorMod(seed, group.size.toLong()).toInt()
        Delegation(HashRange(from, to), (group.drop(start) + group.take(start)).take(CANDIDATE_LIMIT))
    }
}

/** Groups into which a range is split at most. */
public const val DELEGATION_LIMIT: Int = 4

private const val CANDIDATE_LIMIT = 3
