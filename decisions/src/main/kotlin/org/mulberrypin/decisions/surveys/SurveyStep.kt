package org.mulberrypin.decisions.surveys

/**
 * New state of the survey table after an event.
 *
 * @property ended results of the surveys that the event completed
 */
public data class SurveyStep<Subject, Answer>(
    val table: SurveyTable<Subject, Answer>,
    val ended: List<SurveyResult<Subject, Answer>> = emptyList(),
)
