package org.mulberrypin.service.requests

import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.CompletionRequest

/**
 * A completion request and the callback for its replies.
 *
 * @property onReply called in order on the duty thread; must not block
 */
public data class RequestSubmission(
    val arrival: RequestArrival,
    val content: CompletionRequest,
    val onReply: (RequestReply) -> Unit,
)
