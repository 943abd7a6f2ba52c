package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation

/** What a duty carries out for the decision about configurations. */
public sealed interface ConfigurationEffect {
    /** Put [configuration] in force. */
    public data class Publish(
        val configuration: Configuration,
    ) : ConfigurationEffect

    /** Read the version row, and the patches after [version] if there are any. */
    public data class ReadStore(
        val version: Long,
    ) : ConfigurationEffect

    /** Commit a patch on the condition that the version row names the version before it. */
    public data class Commit(
        val operator: Long,
        val accepted: AcceptedPatch,
    ) : ConfigurationEffect

    /** Write [configuration] to the object store for instances that start. */
    public data class WriteSnapshot(
        val configuration: Configuration,
    ) : ConfigurationEffect

    /** Send an announcement to a member. */
    public data class Announce(
        val fanout: Long,
        val delegation: Int,
        val address: String,
        val timeoutMilliseconds: Long,
        val announcement: VersionAnnouncement,
    ) : ConfigurationEffect

    /** Answer the announcement of a peer. */
    public data class Confirm(
        val call: Long,
        val confirmation: VersionConfirmation,
    ) : ConfigurationEffect

    /** Answer an operator. */
    public data class AnswerOperator(
        val operator: Long,
        val result: SubmissionResult,
    ) : ConfigurationEffect
}
