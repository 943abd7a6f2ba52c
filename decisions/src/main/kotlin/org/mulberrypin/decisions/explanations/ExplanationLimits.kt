package org.mulberrypin.decisions.explanations

/**
 * Limits of the explanations that an instance stores and of the queries for them.
 *
 * @property recordsPerSubject maximum number of records stored for one subject
 * @property subjects maximum number of subjects; records of further subjects are dropped and counted
 * @property answerRecordLimit maximum number of records in one answer, which contains the newest ones
 * @property pendingQueryLimit maximum number of queries that wait for peers; further ones are refused
 * @property queryTimeoutMilliseconds time after which a query is answered without the peers that have not answered
 */
public data class ExplanationLimits(
    val recordsPerSubject: Int = 4_000,
    val subjects: Int = 16,
    val answerRecordLimit: Int = 200,
    val pendingQueryLimit: Int = 32,
    val queryTimeoutMilliseconds: Long = 2_000,
)
