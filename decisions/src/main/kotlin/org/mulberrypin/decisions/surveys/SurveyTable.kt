/**
 * Questions that an instance puts to all its peers and whose answers it merges. A survey ends when each peer has
 * answered or failed, at the latest at its deadline; an answer that comes later, or twice, is passed over.
 */
package org.mulberrypin.decisions.surveys

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet

/**
 * The open surveys of an instance.
 *
 * @property limit surveys that are open at the same time at most; one more is refused by its caller
 * @property open the surveys by their numbers
 */
public data class SurveyTable<Subject, Answer>(
    val limit: Int,
    val open: PersistentMap<Long, Survey<Subject, Answer>> = persistentMapOf(),
) {
    /** True when no further survey can be opened. */
    public val isFull: Boolean
        get() = open.size >= limit

    /** Opens a survey under a new [number] that asks the peers named [peers]; without peers it ends at once. */
    public fun open(
        number: Long,
        subject: Subject,
        peers: List<String>,
        deadlineMilliseconds: Long,
    ): SurveyStep<Subject, Answer> =
        settle(number, Survey(subject, peers.toPersistentSet(), deadlineMilliseconds))

    /** Takes the answer of [peer], unless the survey has ended or the peer has answered before. */
    public fun answer(
        number: Long,
        peer: String,
        answer: Answer,
    ): SurveyStep<Subject, Answer> =
        whenWaiting(number, peer) { survey -> survey.copy(answers = survey.answers.add(answer)) }

    /** Notes that [peer] will not answer. */
    public fun fail(
        number: Long,
        peer: String,
    ): SurveyStep<Subject, Answer> =
        whenWaiting(number, peer) { survey -> survey.copy(failed = survey.failed.add(peer)) }

    /** Ends the surveys whose deadline has come. */
    public fun expire(nowMilliseconds: Long): SurveyStep<Subject, Answer> {
        val expired = open.filterValues { it.deadlineMilliseconds <= nowMilliseconds }
        val left = expired.keys.fold(open) { surveys, number -> surveys.remove(number) }
        return SurveyStep(copy(open = left), expired.map { (number, survey) -> result(number, survey) })
    }

    private fun whenWaiting(
        number: Long,
        peer: String,
        change: (Survey<Subject, Answer>) -> Survey<Subject, Answer>,
    ): SurveyStep<Subject, Answer> {
        val survey = open[number]?.takeIf { peer in it.waitingFor } ?: return SurveyStep(this)
        return settle(number, change(survey.copy(waitingFor = survey.waitingFor.remove(peer))))
    }

    private fun settle(
        number: Long,
        survey: Survey<Subject, Answer>,
    ): SurveyStep<Subject, Answer> =
        if (survey.waitingFor.isEmpty()) {
            SurveyStep(copy(open = open.remove(number)), listOf(result(number, survey)))
        } else {
            SurveyStep(copy(open = open.put(number, survey)))
        }

    private fun result(
        number: Long,
        survey: Survey<Subject, Answer>,
    ): SurveyResult<Subject, Answer> =
        SurveyResult(number, survey.subject, survey.answers, survey.failed + survey.waitingFor)
}
