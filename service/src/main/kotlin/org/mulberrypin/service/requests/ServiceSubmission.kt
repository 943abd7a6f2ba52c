package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.AggregatedHttpResponse
import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.decisions.requests.RequestReply

/**
 * A call to a plain service and the callbacks for its response and replies.
 *
 * @property call the HTTP request to send to the backend server, without the caller's key
 * @property onResponse called with the backend server's complete response, before the reply that marks the request as
 *   finished
 * @property onReply called in order on the duty thread; must not block
 */
public data class ServiceSubmission(
    val arrival: RequestArrival,
    val call: AggregatedHttpRequest,
    val onResponse: (AggregatedHttpResponse) -> Unit,
    val onReply: (RequestReply) -> Unit,
)
