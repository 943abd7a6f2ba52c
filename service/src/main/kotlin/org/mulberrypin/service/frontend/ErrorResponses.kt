/** Error responses to callers: the status, whether the request may have run, and when to retry. */
package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.ErrorAnswer
import org.mulberrypin.schema.generated.ErrorDetail
import org.mulberrypin.service.MAY_HAVE_RUN
import org.mulberrypin.service.NOT_RUN

/** Creates the response to a request that the front end refused, so that it was not run. */
internal fun notRunResponse(
    status: HttpStatus,
    type: String,
    message: String,
): AggregatedHttpResponse =
    errorResponse(status, ErrorDetail(message, type, NOT_RUN, step = "front end"), retryAfterMilliseconds = 0)

/** Creates the response to a request that was refused and not run. */
internal fun refusalResponse(reply: RequestReply.NotRun): AggregatedHttpResponse =
    errorResponse(
        refusalStatus(reply.refusal),
        refusalDetail(reply),
        reply.retryAfterMilliseconds,
    )

/** Creates the response to a request that may have run but has no complete response. */
internal fun failureResponse(reply: RequestReply.MayHaveRun): AggregatedHttpResponse =
    errorResponse(HttpStatus.BAD_GATEWAY, failureDetail(reply), retryAfterMilliseconds = 0)

internal fun refusalDetail(reply: RequestReply.NotRun): ErrorDetail =
    ErrorDetail(refusalMessage(reply.refusal), reply.refusal.name.lowercase(), NOT_RUN, reply.step, reply.peer)

internal fun failureDetail(reply: RequestReply.MayHaveRun): ErrorDetail =
    ErrorDetail(reply.reason, "may_have_run", MAY_HAVE_RUN, reply.step, reply.peer)

private fun errorResponse(
    status: HttpStatus,
    detail: ErrorDetail,
    retryAfterMilliseconds: Long,
): AggregatedHttpResponse {
    val headers = ResponseHeaders.builder(status).contentType(MediaType.JSON)
    if (retryAfterMilliseconds > 0) {
        headers.add(HttpHeaderNames.RETRY_AFTER, roundUpToSeconds(retryAfterMilliseconds).toString())
    }
    val body = wireJson.encodeToString(ErrorAnswer.serializer(), ErrorAnswer(detail))
    return AggregatedHttpResponse.of(headers.build(), HttpData.ofUtf8(body))
}

private fun roundUpToSeconds(milliseconds: Long): Long =
    (milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND

private fun refusalStatus(refusal: Refusal): HttpStatus =
    when (refusal) {
        Refusal.UNKNOWN_ROUTE -> HttpStatus.NOT_FOUND
        Refusal.KEY_WITHDRAWN -> HttpStatus.UNAUTHORIZED
        Refusal.ISOLATED -> HttpStatus.UNPROCESSABLE_ENTITY
        Refusal.OVERLOADED -> HttpStatus.TOO_MANY_REQUESTS
        else -> HttpStatus.SERVICE_UNAVAILABLE
    }

private fun refusalMessage(refusal: Refusal): String =
    when (refusal) {
        Refusal.UNKNOWN_ROUTE -> "The route does not exist, or the key's team has no access to it."
        Refusal.KEY_WITHDRAWN -> "The key was withdrawn."
        Refusal.OVERLOADED -> "Too many requests are queued."
        Refusal.WAITED_TOO_LONG -> "No backend server had a free slot before the queue timeout."
        Refusal.NO_BACKEND_SERVER -> "No backend server of the route is available."
        Refusal.ISOLATED -> "This content crashed backend servers and is blocked; the request was not run."
        Refusal.LEAVING -> "This instance is shutting down."
        Refusal.CONFIGURATION_UNCERTAIN -> "This instance cannot verify that its configuration is in force."
        Refusal.RECORD_UNAVAILABLE -> "The attempt record of the request could not be written."
    }

private const val MILLISECONDS_PER_SECOND = 1_000L
