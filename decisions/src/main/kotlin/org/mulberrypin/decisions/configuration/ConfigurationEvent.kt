package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation

/** What the decision about configurations is told. */
public sealed interface ConfigurationEvent {
    /** Time has passed. */
    public data object Tick : ConfigurationEvent

    /** The platform's list of instances was read. */
    public data class MembersChanged(
        val entries: List<InstanceEntry>,
    ) : ConfigurationEvent

    /**
     * The table service was read.
     *
     * @property startMilliseconds when the read was sent
     * @property version the version row as it was read
     * @property snapshot a configuration from the object store, when patches were missing
     * @property patches patches after the version in force here, or after the snapshot, oldest first
     */
    public data class StoreRead(
        val startMilliseconds: Long,
        val version: Long,
        val snapshot: Configuration?,
        val patches: List<AcceptedPatch>,
    ) : ConfigurationEvent

    /** The table service could not be read. */
    public data object StoreUnreachable : ConfigurationEvent

    /** A peer announced a version and waits for the answer under [call]. */
    public data class Announced(
        val call: Long,
        val announcement: VersionAnnouncement,
    ) : ConfigurationEvent

    /** A member answered an announcement. */
    public data class PeerConfirmed(
        val fanout: Long,
        val delegation: Int,
        val confirmation: VersionConfirmation,
    ) : ConfigurationEvent

    /** A member did not answer an announcement. */
    public data class PeerFailed(
        val fanout: Long,
        val delegation: Int,
    ) : ConfigurationEvent

    /** An operator sent a patch and waits for the answer under [operator]. */
    public data class PatchSubmitted(
        val operator: Long,
        val patch: ConfigurationPatch,
        val wallMilliseconds: Long,
    ) : ConfigurationEvent

    /** A commit ended. */
    public data class CommitEnded(
        val operator: Long,
        val result: CommitResult,
    ) : ConfigurationEvent
}

/** How the commit of a patch ended. */
public enum class CommitResult {
    /** The rows hold our patch. */
    COMMITTED,

    /** Another patch took the version. */
    SUPERSEDED,

    /** The commit never reached the table service. */
    NOT_RUN,

    /** The answer was lost. */
    UNKNOWN,
}
