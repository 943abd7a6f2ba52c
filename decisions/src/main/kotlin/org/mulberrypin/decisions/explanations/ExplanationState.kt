package org.mulberrypin.decisions.explanations

import org.mulberrypin.decisions.surveys.PeerAddress
import org.mulberrypin.decisions.surveys.PeerQueryTable
import org.mulberrypin.schema.generated.Explanation

/**
 * State of the explanations on one instance.
 *
 * @property records the stored records
 * @property peers the other instances
 * @property queries the queries that wait for answers of peers
 */
public data class ExplanationState(
    val records: ExplanationRecords,
    val peers: List<PeerAddress>,
    val queries: PeerQueryTable<ExplanationQuery, List<Explanation>>,
)

/** Creates the initial state. */
public fun explanationState(limits: ExplanationLimits): ExplanationState =
    ExplanationState(explanationRecords(limits), peers = emptyList(), PeerQueryTable(limits.pendingQueryLimit))
