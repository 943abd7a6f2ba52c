package org.mulberrypin.decisions.explanations

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.Explanation

/**
 * The explanations that an instance stores for later queries, with a limit for each subject.
 *
 * @property dropped number of records that were discarded because they exceeded the limit of subjects
 * @property subjects the records by subject
 */
public data class ExplanationRecords(
    val limits: ExplanationLimits,
    val dropped: Long,
    val subjects: PersistentMap<String, SubjectRecords>,
)

/** Creates an empty collection. */
public fun explanationRecords(limits: ExplanationLimits): ExplanationRecords =
    ExplanationRecords(limits, dropped = 0, subjects = persistentMapOf())

/** Adds [explanation] to its subject; it is dropped if its subject is new and the limit of subjects is reached. */
internal fun ExplanationRecords.add(explanation: Explanation): ExplanationRecords {
    val records = subjects[explanation.subject]
    if (records == null && subjects.size >= limits.subjects) return copy(dropped = dropped + 1)
    val updated = (records ?: SubjectRecords()).add(explanation, limits.recordsPerSubject)
    return copy(subjects = subjects.put(explanation.subject, updated))
}

/** Returns the newest records that match [query] and that its author may read, oldest first. */
internal fun ExplanationRecords.find(query: ExplanationQuery): List<Explanation> {
    val records = subjects[query.subject]?.teams.orEmpty()
    val readable = when (val author = query.author) {
        is QueryAuthor.Operator -> records.values
        is QueryAuthor.TeamMember -> listOfNotNull(records[author.team])
    }
    val matching = readable
        .flatMap { it.records.values }
        .filter { query.name.isEmpty() || it.name == query.name }
    return newest(matching, limits.answerRecordLimit)
}

/** Returns the newest [limit] of [explanations], oldest first. */
internal fun newest(
    explanations: List<Explanation>,
    limit: Int,
): List<Explanation> = explanations.sortedBy(Explanation::wallMilliseconds).takeLast(limit)
