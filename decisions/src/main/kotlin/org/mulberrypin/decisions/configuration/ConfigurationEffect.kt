package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation

/** An action that the configuration thread performs for [decideConfiguration]. */
public sealed interface ConfigurationEffect {
    /** Apply [configuration] on this instance. */
    public data class ApplyConfiguration(
        val configuration: Configuration,
    ) : ConfigurationEffect

    /** Read the version row and all patches newer than [version]. */
    public data class ReadStore(
        val version: Long,
    ) : ConfigurationEffect

    /**
     * Commit a patch on condition that the version row holds the version before it.
     *
     * @property operatorRequest number of the operator's request
     */
    public data class Commit(
        val operatorRequest: Long,
        val accepted: AcceptedPatch,
    ) : ConfigurationEffect

    /** Write [configuration] to the object store, from which starting instances load it. */
    public data class WriteSnapshot(
        val configuration: Configuration,
    ) : ConfigurationEffect

    /**
     * Send an announcement to a member.
     *
     * @property fanout number of the fan-out that the announcement belongs to
     * @property delegation index of the delegation within the fan-out
     * @property address peer address of the member, as host:port
     */
    public data class Announce(
        val fanout: Long,
        val delegation: Int,
        val address: String,
        val timeoutMilliseconds: Long,
        val announcement: VersionAnnouncement,
    ) : ConfigurationEffect

    /** Send [confirmation] to the peer whose announcement arrived as [callNumber]. */
    public data class AnswerAnnouncement(
        val callNumber: Long,
        val confirmation: VersionConfirmation,
    ) : ConfigurationEffect

    /**
     * Send the result of a submission to the operator.
     *
     * @property operatorRequest number of the operator's request
     */
    public data class AnswerOperator(
        val operatorRequest: Long,
        val result: SubmissionResult,
    ) : ConfigurationEffect
}
