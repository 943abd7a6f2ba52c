/**
 * The broadcast tree of announcements. The sender of an announcement is responsible for a range of the hash ring. It
 * splits the members in its range into a few groups and delegates the range of each group to one of its members. Ranges
 * never overlap, so each instance is reached and counted at most once, even while instances have different lists of
 * members.
 */
package org.mulberrypin.decisions.configuration

/**
 * A range of positions on the hash ring.
 *
 * @property from first position, inclusive
 * @property to last position, exclusive
 */
public data class HashRange(
    val from: Long,
    val to: Long,
) {
    internal fun contains(member: Member): Boolean = member.position in from until to
}

/**
 * A range that is delegated to one of its members.
 *
 * @property candidates members that are tried in this order until one answers
 */
public data class Delegation(
    val range: HashRange,
    val candidates: List<Member>,
)

/** The whole hash ring. */
public val fullRange: HashRange = HashRange(0, HASH_RING_SIZE)

/** An empty range: the receiver answers only for itself. */
public val emptyRange: HashRange = HashRange(0, 0)

/**
 * Splits [range] among those [members], sorted by position, that it contains. No resulting range contains [position],
 * the sender's own: otherwise the members it delegates to would announce to the sender and count it again.
 *
 * @param seed selects the first candidate of each group, so that the load is spread over the instances
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
    val membersByArc = arcs.map { arc -> arc to members.filter(arc::contains) }
    val memberCount = membersByArc.sumOf { it.second.size }
    val size = ((memberCount + DELEGATION_LIMIT - 1) / DELEGATION_LIMIT).coerceAtLeast(1)
    return membersByArc.flatMap { (arc, arcMembers) -> splitArc(arc, arcMembers.chunked(size), seed) }
}

private fun splitArc(
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

/** Number of groups into which a range is split; excluding the position of the sender may add one more. */
public const val DELEGATION_LIMIT: Int = 4

private const val CANDIDATE_LIMIT = 3
