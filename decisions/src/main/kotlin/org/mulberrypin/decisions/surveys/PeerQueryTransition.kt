package org.mulberrypin.decisions.surveys

/**
 * New state of the query table after an event.
 *
 * @property ended results of the queries that the event completed
 */
public data class PeerQueryTransition<Subject, Response>(
    val table: PeerQueryTable<Subject, Response>,
    val ended: List<PeerQueryResult<Subject, Response>> = emptyList(),
)
