package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpResponse
import org.mulberrypin.decisions.requests.RequestEvent
import org.mulberrypin.decisions.requests.RequestReply

/** An element of the request duty's ring: a decision event, with data that the decisions do not use. */
internal sealed interface RequestSignal {
    /** A completion request was submitted. */
    data class CompletionSubmitted(
        val submission: RequestSubmission,
    ) : RequestSignal

    /** A call to a plain service was submitted. */
    data class ServiceSubmitted(
        val submission: ServiceSubmission,
    ) : RequestSignal

    /** Chunks of a completion were received; [requestMore] requests more data from the backend server. */
    data class ChunksReceived(
        val request: Long,
        val attempt: Int,
        val chunks: List<RequestReply.Chunk>,
        val requestMore: () -> Unit,
    ) : RequestSignal

    /** The response of a plain service was received. */
    data class ServiceResponded(
        val request: Long,
        val attempt: Int,
        val response: AggregatedHttpResponse,
    ) : RequestSignal

    /** A decision event without further data. */
    data class DecisionEvent(
        val event: RequestEvent,
    ) : RequestSignal
}
