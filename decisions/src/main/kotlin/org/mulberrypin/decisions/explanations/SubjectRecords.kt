package org.mulberrypin.decisions.explanations

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.Explanation

/**
 * The records about one subject.
 *
 * @property size number of records of all teams
 */
public data class SubjectRecords(
    val size: Int = 0,
    val teams: PersistentMap<String, TeamRecords> = persistentMapOf(),
) {
    /**
     * Adds [explanation]. Beyond [limit] records, the oldest one of the team with the most records goes, so that a
     * team with many requests does not displace what other teams may ask about.
     */
    public fun add(
        explanation: Explanation,
        limit: Int,
    ): SubjectRecords {
        val team = (teams[explanation.team] ?: TeamRecords()).add(explanation)
        val grown = SubjectRecords(size + 1, teams.put(explanation.team, team))
        return if (grown.size > limit) grown.dropOldest() else grown
    }

    private fun dropOldest(): SubjectRecords {
        val (team, records) = teams.maxBy { (_, records) -> records.size }
        val left = records.dropOldest()
        return SubjectRecords(size - 1, if (left.size == 0) teams.remove(team) else teams.put(team, left))
    }
}
