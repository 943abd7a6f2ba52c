package org.mulberrypin.decisions.objectives

import org.mulberrypin.decisions.surveys.PeerAddress
import org.mulberrypin.decisions.surveys.PeerQueryTable
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.Team

/**
 * State of the burn reports on one instance.
 *
 * @property instance name of this instance
 * @property countedFromWallMilliseconds start of counting, in milliseconds since the Unix epoch
 * @property counters the counted events
 * @property teams the teams by name; a new objective also applies to events that were counted earlier
 * @property peers the other instances
 * @property queries the reports that wait for answers of peers
 */
public data class BurnState(
    val instance: String,
    val countedFromWallMilliseconds: Long,
    val counters: EventCounters,
    val teams: Map<String, Team> = emptyMap(),
    val peers: List<PeerAddress> = emptyList(),
    val queries: PeerQueryTable<Long, BurnAnswer> = PeerQueryTable(counters.limits.pendingReportLimit),
)
