package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpResponse
import org.mulberrypin.decisions.requests.RequestEffect
import org.mulberrypin.decisions.requests.RequestReply

/**
 * State of a request that the decisions do not need, such as its callbacks. Accessed only by the duty thread.
 *
 * @property startAttempt sends the request to a backend server, resuming after the text of earlier attempts, and
 *   returns a function that cancels the attempt
 * @property text text generated so far by all attempts
 * @property attempt number of the attempt that [cancel] cancels
 */
internal data class ActiveRequest(
    val startAttempt: (dispatch: RequestEffect.Dispatch, text: String) -> () -> Unit,
    val onReply: (RequestReply) -> Unit,
    val onResponse: (AggregatedHttpResponse) -> Unit,
    val text: StringBuilder = StringBuilder(),
    val attempt: Int = 0,
    val cancel: () -> Unit = {},
)
