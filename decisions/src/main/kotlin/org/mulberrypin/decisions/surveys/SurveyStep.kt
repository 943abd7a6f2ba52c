package org.mulberrypin.decisions.surveys

/**
 * What follows from an event of a survey.
 *
 * @property ended the surveys that ended with the event
 */
public data class SurveyStep<Subject, Answer>(
    val table: SurveyTable<Subject, Answer>,
    val ended: List<SurveyResult<Subject, Answer>> = emptyList(),
)
