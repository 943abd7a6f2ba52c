/**
 * The part of an entry instance that carries requests. The front end for callers and the part for rollouts use it
 * through this surface only.
 */
package org.mulberrypin.service.requests

import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.Configuration

/**
 * @property submit hands in a request; false means that the ring is full and the request was not run
 * @property cancel tells that the caller of a request has gone
 * @property configurationChanged puts a configuration in force
 * @property drain stops admission; requests under way continue
 * @property inFlight the number of requests that wait or are under way
 * @property stop ends the duty
 */
public data class RequestPart(
    val submit: (RequestSubmission) -> Boolean,
    val cancel: (request: Long) -> Unit,
    val configurationChanged: (Configuration) -> Unit,
    val drain: () -> Unit,
    val inFlight: () -> Int,
    val stop: () -> Unit,
)

/**
 * A request with its content and the receiver of its replies.
 *
 * @property onReply called by the duty's thread, in order; must not block
 */
public data class RequestSubmission(
    val arrival: RequestArrival,
    val content: CompletionRequest,
    val onReply: (RequestReply) -> Unit,
)
