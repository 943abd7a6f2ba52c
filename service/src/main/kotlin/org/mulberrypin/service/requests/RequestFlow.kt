package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpResponse
import org.mulberrypin.decisions.requests.RequestEffect
import org.mulberrypin.decisions.requests.RequestReply

/**
 * What the duty keeps for a request besides the state of the decisions; touched by the duty's thread only.
 *
 * @property start sends the request to a backend server, continuing the text of earlier attempts, and answers a
 *   function that cancels the attempt
 * @property text the text that was generated so far, over all attempts
 * @property attempt number of the attempt that [cancel] cancels
 */
internal data class RequestFlow(
    val start: (dispatch: RequestEffect.Dispatch, text: String) -> () -> Unit,
    val onReply: (RequestReply) -> Unit,
    val onAnswer: (AggregatedHttpResponse) -> Unit,
    val text: StringBuilder = StringBuilder(),
    val attempt: Int = 0,
    val cancel: () -> Unit = {},
)
