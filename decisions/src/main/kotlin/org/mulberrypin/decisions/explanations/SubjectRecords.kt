package org.mulberrypin.decisions.explanations

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.Explanation

/**
 * The records of one subject.
 *
 * @property size number of records of all teams together
 * @property teams the records by team
 */
public data class SubjectRecords(
    val size: Int = 0,
    val teams: PersistentMap<String, TeamRecords> = persistentMapOf(),
) {
    /**
     * Adds [explanation]. If this exceeds [limit], the oldest record of the team with the most records is removed, so
     * that a team with many requests does not evict the records of other teams.
     */
    public fun add(
        explanation: Explanation,
        limit: Int,
    ): SubjectRecords {
        val team = (teams[explanation.team] ?: TeamRecords()).add(explanation)
        val updated = SubjectRecords(size + 1, teams.put(explanation.team, team))
        return if (updated.size > limit) updated.dropOldest() else updated
    }

    private fun dropOldest(): SubjectRecords {
        val (team, records) = teams.maxBy { (_, records) -> records.size }
        val remaining = records.dropOldest()
        return SubjectRecords(size - 1, if (remaining.size == 0) teams.remove(team) else teams.put(team, remaining))
    }
}
