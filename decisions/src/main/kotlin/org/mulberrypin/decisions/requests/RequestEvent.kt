package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.EngineLoad

/** What a request duty is told. */
public sealed interface RequestEvent {
    /** A caller or a rollout hands in a request. */
    public data class Arrived(
        val arrival: RequestArrival,
    ) : RequestEvent

    /** The caller of a request has gone; its answer is of no use any more. */
    public data class CallerLeft(
        val request: Long,
    ) : RequestEvent

    /** A backend server sent a part of an answer. */
    public data class PartArrived(
        val request: Long,
        val attempt: Int,
        val part: RequestReply.Part,
    ) : RequestEvent

    /** A backend server ended its answer properly. */
    public data class AttemptFinished(
        val request: Long,
        val attempt: Int,
        val finishReason: String,
        val promptTokens: Long,
    ) : RequestEvent

    /**
     * An attempt ended without a whole answer.
     *
     * @property ending how the attempt ended
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

    /** A backend server did not answer the question about its load. */
    public data class LoadMissing(
        val server: String,
    ) : RequestEvent

    /** A peer saw a backend server crash while a content ran. */
    public data class CrashReported(
        val contentDigest: String,
        val server: String,
    ) : RequestEvent

    /** A configuration came into force. */
    public data class ConfigurationChanged(
        val configuration: Configuration,
    ) : RequestEvent

    /** The number of live instances changed. */
    public data class InstancesChanged(
        val count: Int,
    ) : RequestEvent

    /** Whether this instance knows its configuration to be in force. */
    public data class CertaintyChanged(
        val certain: Boolean,
    ) : RequestEvent

    /** The instance shuts down: it admits nothing more and finishes what it has. */
    public data object DrainStarted : RequestEvent

    /** Time has passed. */
    public data object Ticked : RequestEvent
}
