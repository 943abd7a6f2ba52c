package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.WeightSpan

/** A reply to the caller of a request. Each request gets any number of [Chunk]s, then exactly one of the others. */
public sealed interface RequestReply {
    /** A chunk of streamed output, in order. */
    public data class Chunk(
        val text: String,
        val tokens: Int,
        val weightVersion: Long,
    ) : RequestReply

    /**
     * The response is complete.
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

    /** No byte of the request reached a backend server, or the backend server reported that it did not run it. */
    public data class NotRun(
        val refusal: Refusal,
        val retryAfterMilliseconds: Long,
        val step: String,
        val peer: String,
    ) : RequestReply

    /** The request may have run, but no complete response is available. */
    public data class MayHaveRun(
        val reason: String,
        val step: String,
        val peer: String,
    ) : RequestReply
}
