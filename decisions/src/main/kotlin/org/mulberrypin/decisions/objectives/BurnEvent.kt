package org.mulberrypin.decisions.objectives

import org.mulberrypin.decisions.surveys.SurveyPeer
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.Team

/** What the decisions about the burn report are told. Times are those of the wall clock. */
public sealed interface BurnEvent {
    /** A request was measured. */
    public data class Recorded(
        val event: ObjectiveEvent,
        val wallMilliseconds: Long,
    ) : BurnEvent

    /** A peer asks for the counts of this instance. */
    public data class CountsAsked(
        val question: Long,
    ) : BurnEvent

    /**
     * An operator asks for a report.
     *
     * @property everywhere true when the counts of the peers shall be added
     */
    public data class ReportAsked(
        val question: Long,
        val everywhere: Boolean,
        val wallMilliseconds: Long,
    ) : BurnEvent

    /** A peer has sent its counts. */
    public data class PeerAnswered(
        val question: Long,
        val peer: String,
        val answer: BurnAnswer,
    ) : BurnEvent

    /** A peer could not be asked. */
    public data class PeerFailed(
        val question: Long,
        val peer: String,
    ) : BurnEvent

    /** The list of the other instances has changed. */
    public data class PeersChanged(
        val peers: List<SurveyPeer>,
    ) : BurnEvent

    /** A configuration is in force. */
    public data class TeamsChanged(
        val teams: List<Team>,
    ) : BurnEvent

    /** Time has passed. */
    public data class Tick(
        val wallMilliseconds: Long,
    ) : BurnEvent
}
