package org.mulberrypin.decisions.explanations

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.Explanation

/**
 * The records that an instance keeps for later questions, bounded for each subject.
 *
 * @property dropped records that were not kept because there were too many subjects
 */
public data class ExplanationBook(
    val limits: ExplanationLimits,
    val dropped: Long,
    val subjects: PersistentMap<String, SubjectRecords>,
)

/** Creates a book without records. */
public fun explanationBook(limits: ExplanationLimits): ExplanationBook =
    ExplanationBook(limits, dropped = 0, subjects = persistentMapOf())

/** Adds [explanation] to its subject. */
internal fun ExplanationBook.add(explanation: Explanation): ExplanationBook {
    val records = subjects[explanation.subject]
    if (records == null && subjects.size >= limits.subjects) return copy(dropped = dropped + 1)
    val grown = (records ?: SubjectRecords()).add(explanation, limits.recordsPerSubject)
    return copy(subjects = subjects.put(explanation.subject, grown))
}

/** Finds the newest records that match [query] and that its asker may see, oldest first. */
internal fun ExplanationBook.find(query: ExplanationQuery): List<Explanation> {
    val records = subjects[query.subject]?.teams.orEmpty()
    val visible = when (val asker = query.asker) {
        is Asker.Operator -> records.values
        is Asker.TeamMember -> listOfNotNull(records[asker.team])
    }
    val matching = visible
        .flatMap { it.records.values }
        .filter { query.name.isEmpty() || it.name == query.name }
    return newest(matching, limits.answerRecords)
}

/** The newest [limit] records of [explanations], oldest first. */
internal fun newest(
    explanations: List<Explanation>,
    limit: Int,
): List<Explanation> = explanations.sortedBy(Explanation::wallMilliseconds).takeLast(limit)
