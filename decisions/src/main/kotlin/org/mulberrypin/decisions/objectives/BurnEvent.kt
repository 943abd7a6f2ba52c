package org.mulberrypin.decisions.objectives

import org.mulberrypin.decisions.surveys.PeerAddress
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.Team

/** An input of [decideBurn]. Wall-clock times are in milliseconds since the Unix epoch. */
public sealed interface BurnEvent {
    /** A request was measured against the objective of its team. */
    public data class Recorded(
        val event: ObjectiveEvent,
        val wallMilliseconds: Long,
    ) : BurnEvent

    /** A peer requested the counts of this instance. */
    public data class CountsRequested(
        val queryNumber: Long,
    ) : BurnEvent

    /**
     * An operator requested a report.
     *
     * @property queryNumber number of the request, unique in this process
     * @property includePeers true to include the counts of the peers
     */
    public data class ReportRequested(
        val queryNumber: Long,
        val includePeers: Boolean,
        val wallMilliseconds: Long,
    ) : BurnEvent

    /** A peer sent its counts. */
    public data class PeerAnswered(
        val queryNumber: Long,
        val peer: String,
        val answer: BurnAnswer,
    ) : BurnEvent

    /** A peer could not be reached. */
    public data class PeerFailed(
        val queryNumber: Long,
        val peer: String,
    ) : BurnEvent

    /** The list of the other instances changed. */
    public data class PeersChanged(
        val peers: List<PeerAddress>,
    ) : BurnEvent

    /** A new configuration was applied, with the objectives of its teams. */
    public data class TeamsChanged(
        val teams: List<Team>,
    ) : BurnEvent

    /** Periodic event that removes series without retained counts and ends reports whose deadline has passed. */
    public data class Tick(
        val wallMilliseconds: Long,
    ) : BurnEvent
}
