package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpResponse
import org.mulberrypin.decisions.requests.AttemptEnding
import org.mulberrypin.decisions.requests.RequestReply

/**
 * Callbacks for one attempt at a backend server. They run on event loops and must only offer to rings.
 *
 * @property onChunks receives consecutive chunks; no more data is read from the backend server until the second
 *   argument is called
 * @property onServiceResponse receives the complete response of a plain service
 * @property onFinished called when the response is complete, with its finish reason and the number of prompt tokens
 * @property onFailed called when the attempt ended without a complete response
 */
internal data class BackendListener(
    val onChunks: (chunks: List<RequestReply.Chunk>, requestMore: () -> Unit) -> Unit,
    val onServiceResponse: (AggregatedHttpResponse) -> Unit,
    val onFinished: (finishReason: String, promptTokens: Long) -> Unit,
    val onFailed: (ending: AttemptEnding, detail: String) -> Unit,
)
