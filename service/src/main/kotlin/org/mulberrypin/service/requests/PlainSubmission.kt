package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.AggregatedHttpResponse
import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.decisions.requests.RequestReply

/**
 * A call of a plain service, with the receiver of its replies.
 *
 * @property call the call as the backend server shall receive it, without the caller's key
 * @property onAnswer called with the backend server's whole answer, before the reply that the answer is whole
 * @property onReply called by the duty's thread, in order; must not block
 */
public data class PlainSubmission(
    val arrival: RequestArrival,
    val call: AggregatedHttpRequest,
    val onAnswer: (AggregatedHttpResponse) -> Unit,
    val onReply: (RequestReply) -> Unit,
)
