/**
 * Scatter-gather queries that an instance sends to all its peers, and whose responses it collects. A survey completes
 * when each peer has responded or failed, or at its deadline; late and duplicate responses are ignored.
 */
package org.mulberrypin.decisions.surveys

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet

/**
 * The surveys of an instance that are in progress.
 *
 * @property limit maximum number of surveys in progress; callers check [isFull] and refuse further ones
 * @property open surveys in progress, by number
 */
public data class SurveyTable<Subject, Answer>(
    val limit: Int,
    val open: PersistentMap<Long, Survey<Subject, Answer>> = persistentMapOf(),
) {
    /** True when the maximum number of surveys is in progress. */
    public val isFull: Boolean
        get() = open.size >= limit

    /** Starts a survey of [peers], given by name, under an unused [number]; without peers it completes immediately. */
    public fun open(
        number: Long,
        subject: Subject,
        peers: List<String>,
        deadlineMilliseconds: Long,
    ): SurveyStep<Subject, Answer> =
        storeOrComplete(number, Survey(subject, peers.toPersistentSet(), deadlineMilliseconds))

    /** Adds the response of [peer]; ignored if the survey is complete or the peer has already responded or failed. */
    public fun answer(
        number: Long,
        peer: String,
        answer: Answer,
    ): SurveyStep<Subject, Answer> =
        updateIfPending(number, peer) { survey -> survey.copy(answers = survey.answers.add(answer)) }

    /** Records that [peer] failed to respond. */
    public fun fail(
        number: Long,
        peer: String,
    ): SurveyStep<Subject, Answer> =
        updateIfPending(number, peer) { survey -> survey.copy(failed = survey.failed.add(peer)) }

    /** Completes the surveys whose deadline has passed, with the responses received so far. */
    public fun expire(nowMilliseconds: Long): SurveyStep<Subject, Answer> {
        val expired = open.filterValues { it.deadlineMilliseconds <= nowMilliseconds }
        val remaining = expired.keys.fold(open) { surveys, number -> surveys.remove(number) }
        return SurveyStep(copy(open = remaining), expired.map { (number, survey) -> resultOf(number, survey) })
    }

    private fun updateIfPending(
        number: Long,
        peer: String,
        change: (Survey<Subject, Answer>) -> Survey<Subject, Answer>,
    ): SurveyStep<Subject, Answer> {
        val survey = open[number]?.takeIf { peer in it.pendingPeers } ?: return SurveyStep(this)
        return storeOrComplete(number, change(survey.copy(pendingPeers = survey.pendingPeers.remove(peer))))
    }

    private fun storeOrComplete(
        number: Long,
        survey: Survey<Subject, Answer>,
    ): SurveyStep<Subject, Answer> =
        if (survey.pendingPeers.isEmpty()) {
            SurveyStep(copy(open = open.remove(number)), listOf(resultOf(number, survey)))
        } else {
            SurveyStep(copy(open = open.put(number, survey)))
        }

    private fun resultOf(
        number: Long,
        survey: Survey<Subject, Answer>,
    ): SurveyResult<Subject, Answer> =
        SurveyResult(number, survey.subject, survey.answers, survey.failed + survey.pendingPeers)
}
