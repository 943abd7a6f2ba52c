package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpResponse
import org.mulberrypin.decisions.requests.AttemptEnding
import org.mulberrypin.decisions.requests.RequestReply

/**
 * Receives what a backend server sends. Called on event loops; the functions only offer to rings.
 *
 * @property onParts consecutive parts; nothing more is read from the backend server until the second argument is called
 * @property onPlainAnswer the whole answer of a plain service
 * @property onFinished the answer ended properly, with its finish reason and the tokens of the prompt
 * @property onBroken the attempt ended without a whole answer
 */
internal data class BackendListener(
    val onParts: (parts: List<RequestReply.Part>, readOn: () -> Unit) -> Unit,
    val onPlainAnswer: (AggregatedHttpResponse) -> Unit,
    val onFinished: (finishReason: String, promptTokens: Long) -> Unit,
    val onBroken: (ending: AttemptEnding, detail: String) -> Unit,
)
