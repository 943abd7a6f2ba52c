package org.mulberrypin.decisions.requests

/** What a request duty carries out. */
public sealed interface RequestEffect {
    /**
     * Send a request to a backend server.
     *
     * @property resumeTokens tokens of earlier attempts that the answer continues; their text is kept by the duty
     */
    public data class Dispatch(
        val request: Long,
        val attempt: Int,
        val server: String,
        val address: String,
        val resumeTokens: Long,
    ) : RequestEffect

    /** Close the connection of an attempt; its answer is not wanted any more. */
    public data class CancelAttempt(
        val request: Long,
        val attempt: Int,
    ) : RequestEffect

    /** Tell the caller of a request. */
    public data class Reply(
        val request: Long,
        val reply: RequestReply,
    ) : RequestEffect

    /** Count the usage of a request that was answered whole. */
    public data class RecordUsage(
        val request: Long,
        val team: String,
        val route: String,
        val promptTokens: Long,
        val generatedTokens: Long,
    ) : RequestEffect

    /** Measure a request against the objective of its team. */
    public data class RecordObjective(
        val team: String,
        val route: String,
        val good: Boolean,
        val firstPartMilliseconds: Long,
    ) : RequestEffect

    /** Tell the peers that a content was running when a backend server crashed. */
    public data class ReportCrash(
        val contentDigest: String,
        val team: String,
        val server: String,
        val failureDomain: String,
        val running: Int,
    ) : RequestEffect

    /** Record why something was decided. */
    public data class Explain(
        val request: Long,
        val name: String,
        val team: String,
        val step: String,
        val peer: String,
        val reason: String,
    ) : RequestEffect
}
