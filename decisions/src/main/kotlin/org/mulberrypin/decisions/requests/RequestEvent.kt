package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.EngineLoad

/** Input of the request decisions. */
public sealed interface RequestEvent {
    /** A caller or a rollout submitted a request. */
    public data class RequestSubmitted(
        val arrival: RequestArrival,
    ) : RequestEvent

    /** The caller of a request disconnected; the response is no longer needed. */
    public data class CallerDisconnected(
        val request: Long,
    ) : RequestEvent

    /** A backend server sent a chunk of a response. */
    public data class ChunkReceived(
        val request: Long,
        val attempt: Int,
        val chunk: RequestReply.Chunk,
    ) : RequestEvent

    /** A backend server completed its response. */
    public data class AttemptFinished(
        val request: Long,
        val attempt: Int,
        val finishReason: String,
        val promptTokens: Long,
    ) : RequestEvent

    /**
     * An attempt ended without a complete response.
     *
     * @property detail reason as a sentence, for explanations
     */
    public data class AttemptFailed(
        val request: Long,
        val attempt: Int,
        val ending: AttemptEnding,
        val detail: String,
    ) : RequestEvent

    /** A backend server reported its load. */
    public data class LoadReported(
        val server: String,
        val load: EngineLoad,
    ) : RequestEvent

    /** A load request to a backend server failed. */
    public data class LoadRequestFailed(
        val server: String,
    ) : RequestEvent

    /** A peer reported that a backend server crashed while it ran this request content. */
    public data class CrashReported(
        val contentDigest: String,
        val server: String,
    ) : RequestEvent

    /** A new configuration took effect. */
    public data class ConfigurationChanged(
        val configuration: Configuration,
    ) : RequestEvent

    /** The number of live instances changed. */
    public data class InstancesChanged(
        val count: Int,
    ) : RequestEvent

    /** The configuration became confirmed as the current one, or no longer is confirmed. */
    public data class ConfigurationConfirmedChanged(
        val isConfirmed: Boolean,
    ) : RequestEvent

    /** The instance is shutting down: it admits no new requests and completes the admitted ones. */
    public data object DrainStarted : RequestEvent

    /** Periodic timer tick, which checks timeouts. */
    public data object Tick : RequestEvent
}
