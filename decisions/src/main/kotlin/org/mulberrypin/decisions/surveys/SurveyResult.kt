package org.mulberrypin.decisions.surveys

/**
 * A survey that has ended.
 *
 * @property number the number under which the survey was opened
 * @property missing names of the peers that did not answer in time
 */
public data class SurveyResult<Subject, Answer>(
    val number: Long,
    val subject: Subject,
    val answers: List<Answer>,
    val missing: List<String>,
)
