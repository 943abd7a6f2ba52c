package org.mulberrypin.decisions.surveys

/**
 * Result of a completed survey.
 *
 * @property number number under which the survey was started
 * @property missing names of the peers that failed or did not respond before the deadline
 */
public data class SurveyResult<Subject, Answer>(
    val number: Long,
    val subject: Subject,
    val answers: List<Answer>,
    val missing: List<String>,
)
