package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpResponse
import org.mulberrypin.decisions.requests.RequestEvent
import org.mulberrypin.decisions.requests.RequestReply

/** An element of the ring of the request duty: an event of the decisions, with what the decisions need not see. */
internal sealed interface RequestSignal {
    /** A request for a model was handed in. */
    data class Submitted(
        val submission: RequestSubmission,
    ) : RequestSignal

    /** A call of a plain service was handed in. */
    data class PlainSubmitted(
        val submission: PlainSubmission,
    ) : RequestSignal

    /** Parts of an answer arrived; [readOn] lets the backend server's stream continue. */
    data class PartsArrived(
        val request: Long,
        val attempt: Int,
        val parts: List<RequestReply.Part>,
        val readOn: () -> Unit,
    ) : RequestSignal

    /** A plain service answered. */
    data class PlainAnswered(
        val request: Long,
        val attempt: Int,
        val answer: AggregatedHttpResponse,
    ) : RequestSignal

    /** An event that carries nothing besides. */
    data class Told(
        val event: RequestEvent,
    ) : RequestSignal
}
