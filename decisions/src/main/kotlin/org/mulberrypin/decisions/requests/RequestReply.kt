package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.WeightSpan

/** What the caller of a request is told, in order: parts, then exactly one of the other replies. */
public sealed interface RequestReply {
    /** Consecutive output of the backend server. */
    public data class Part(
        val text: String,
        val tokens: Int,
        val weightVersion: Long,
    ) : RequestReply

    /**
     * The answer is whole.
     *
     * @property spans the weight versions that produced the tokens, in order, over all attempts
     * @property backendServer name of the backend server that produced the last token
     */
    public data class Finished(
        val finishReason: String,
        val promptTokens: Long,
        val spans: List<WeightSpan>,
        val backendServer: String,
    ) : RequestReply

    /** No byte of the request reached a backend server, or the backend server said that it did not run it. */
    public data class NotRun(
        val refusal: Refusal,
        val retryAfterMilliseconds: Long,
        val step: String,
        val peer: String,
    ) : RequestReply

    /** The request may have run, and no whole answer can be given. */
    public data class MayHaveRun(
        val reason: String,
        val step: String,
        val peer: String,
    ) : RequestReply
}
