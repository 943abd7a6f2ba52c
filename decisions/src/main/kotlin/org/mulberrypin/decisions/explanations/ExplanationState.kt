package org.mulberrypin.decisions.explanations

import org.mulberrypin.decisions.surveys.SurveyPeer
import org.mulberrypin.decisions.surveys.SurveyTable
import org.mulberrypin.schema.generated.Explanation

/**
 * What the decisions about explanations know.
 *
 * @property peers the other instances
 * @property questions the questions that wait for peers
 */
public data class ExplanationState(
    val book: ExplanationBook,
    val peers: List<SurveyPeer>,
    val questions: SurveyTable<ExplanationQuery, List<Explanation>>,
)

/** The state at the start of an instance. */
public fun explanationState(limits: ExplanationLimits): ExplanationState =
    ExplanationState(explanationBook(limits), peers = emptyList(), SurveyTable(limits.openQuestions))
