package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.EngineLoad

/** Input of the request decisions. */
public sealed interface RequestEvent {
    /** A caller or a rollout submitted a request. */
    public data class Arrived(
        val arrival: RequestArrival,
    ) : RequestEvent

    /** The caller of a request disconnected; the response is no longer needed. */
    public data class CallerLeft(
        val request: Long,
    ) : RequestEvent

    /** A backend server sent a chunk of a response. */
    public data class PartArrived(
        val request: Long,
        val attempt: Int,
        val part: RequestReply.Part,
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
    public data class AttemptBroke(
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
    public data class LoadMissing(
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

    /** The instance's configuration became certain, or uncertain, to be the current one. */
    public data class CertaintyChanged(
        val certain: Boolean,
    ) : RequestEvent

    /** The instance is shutting down: it admits no new requests and completes the admitted ones. */
    public data object DrainStarted : RequestEvent

    /** Periodic timer tick, which checks timeouts. */
    public data object Ticked : RequestEvent
}
