package org.mulberrypin.decisions.explanations

/**
 * Bounds of what an instance keeps for later questions.
 *
 * @property recordsPerSubject records kept of one subject
 * @property subjects subjects of which records are kept; records of one more are counted as dropped
 * @property answerRecords records in one answer; the newest are kept
 * @property openQuestions questions that wait for peers at the same time; one more is refused
 * @property questionMilliseconds time after which a question is answered without the peers that are missing
 */
public data class ExplanationLimits(
    val recordsPerSubject: Int = 4_000,
    val subjects: Int = 16,
    val answerRecords: Int = 200,
    val openQuestions: Int = 32,
    val questionMilliseconds: Long = 2_000,
)
