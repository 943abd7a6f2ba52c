package org.mulberrypin.decisions.surveys

/**
 * Result of a completed query.
 *
 * @property number number under which the query was started
 * @property missing names of the peers that failed or did not respond before the deadline
 */
public data class PeerQueryResult<Subject, Response>(
    val number: Long,
    val subject: Subject,
    val responses: List<Response>,
    val missing: List<String>,
)
