package org.mulberrypin.service.requests

import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.CompletionRequest

/**
 * A request for a model, with its content and the receiver of its replies.
 *
 * @property onReply called by the duty's thread, in order; must not block
 */
public data class RequestSubmission(
    val arrival: RequestArrival,
    val content: CompletionRequest,
    val onReply: (RequestReply) -> Unit,
)
