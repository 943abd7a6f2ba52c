package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation

/** An input of [decideConfiguration]. */
public sealed interface ConfigurationEvent {
    /** Periodic event that triggers expired timeouts and due work. */
    public data object Tick : ConfigurationEvent

    /** The platform's list of instances was read, this instance included. */
    public data class MembersChanged(
        val entries: List<InstanceEntry>,
    ) : ConfigurationEvent

    /**
     * A read of the table service completed.
     *
     * @property startMilliseconds time at which the read was sent, by the clock of this process
     * @property version version that the version row held
     * @property snapshot configuration from the object store, or null when no patches were missing
     * @property patches patches newer than the local version, or than the snapshot, oldest first
     */
    public data class StoreRead(
        val startMilliseconds: Long,
        val version: Long,
        val snapshot: Configuration?,
        val patches: List<AcceptedPatch>,
    ) : ConfigurationEvent

    /** A read of the table service failed. */
    public data object StoreUnreachable : ConfigurationEvent

    /** A peer announced a version; the answer is sent as the response to [callNumber]. */
    public data class AnnouncementReceived(
        val callNumber: Long,
        val announcement: VersionAnnouncement,
    ) : ConfigurationEvent

    /** A member answered an announcement. */
    public data class PeerConfirmed(
        val fanout: Long,
        val delegation: Int,
        val confirmation: VersionConfirmation,
    ) : ConfigurationEvent

    /** A member could not be reached or did not answer an announcement in time. */
    public data class PeerFailed(
        val fanout: Long,
        val delegation: Int,
    ) : ConfigurationEvent

    /**
     * An operator submitted a patch.
     *
     * @property operatorRequest number of the operator's request, under which the result is returned
     * @property wallMilliseconds arrival time in milliseconds since the Unix epoch
     */
    public data class PatchSubmitted(
        val operatorRequest: Long,
        val patch: ConfigurationPatch,
        val wallMilliseconds: Long,
    ) : ConfigurationEvent

    /** The commit of a submitted patch ended. */
    public data class CommitEnded(
        val operatorRequest: Long,
        val result: CommitResult,
    ) : ConfigurationEvent
}

/** Result of the commit of a patch. */
public enum class CommitResult {
    /** The table service holds the patch. */
    COMMITTED,

    /** Another patch was committed under the same version. */
    SUPERSEDED,

    /** The commit did not reach the table service. */
    NOT_RUN,

    /** The response was lost, so the patch may or may not have been committed. */
    UNKNOWN,
}
