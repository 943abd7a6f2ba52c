/**
 * Calls to plain services that are not repeatable and have an idempotency key. The attempt record is written before
 * anything is sent, so that a call runs at most once even if the caller repeats it at another instance.
 */
package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import org.mulberrypin.decisions.attempts.AttemptCompletion
import org.mulberrypin.decisions.attempts.AttemptOutcome
import org.mulberrypin.decisions.attempts.AttemptRequest
import org.mulberrypin.decisions.attempts.AttemptResult
import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.runtime.decodeUtf8OrNull
import org.mulberrypin.service.attempts.AttemptPart
import org.mulberrypin.service.requests.ServiceSubmission

/**
 * Submits a call, or responds from the attempt record if a call with the same idempotency key may have run.
 *
 * @param respond sends a complete response to the caller
 * @param submit submits the call; its result is passed to the attempt records before its replies are forwarded
 */
internal fun runAtMostOnce(
    attempts: AttemptPart,
    submission: ServiceSubmission,
    idempotencyKey: String,
    respond: (AggregatedHttpResponse) -> Unit,
    submit: (ServiceSubmission) -> Unit,
) {
    val arrival = submission.arrival
    val attempt = AttemptRequest(arrival.request, arrival.team, idempotencyKey, arrival.contentDigest)
    val isOffered =
        attempts.begin(attempt) { outcome ->
            when (outcome) {
                AttemptOutcome.MayRun -> submit(withRecordedResult(attempts, submission))
                else -> respond(outcomeResponse(outcome))
            }
        }
    if (!isOffered) respond(refusalResponse(recordUnavailable))
}

private fun withRecordedResult(
    attempts: AttemptPart,
    submission: ServiceSubmission,
): ServiceSubmission {
    var response: AggregatedHttpResponse? = null
    return submission.copy(
        onResponse = {
            response = it
            submission.onResponse(it)
        },
        onReply = { reply ->
            attemptResult(reply, response)?.let { attempts.finish(AttemptCompletion(submission.arrival.request, it)) }
            submission.onReply(reply)
        },
    )
}

private fun attemptResult(
    reply: RequestReply,
    response: AggregatedHttpResponse?,
): AttemptResult? =
    when (reply) {
        is RequestReply.NotRun -> AttemptResult.NotRun
        is RequestReply.Finished -> response?.let(::answeredResult)
        is RequestReply.Chunk, is RequestReply.MayHaveRun -> null
    }

private fun answeredResult(response: AggregatedHttpResponse): AttemptResult =
    AttemptResult.Answered(
        status = response.status().code(),
        contentType = response.contentType()?.toString().orEmpty(),
        body = response.content().array().decodeUtf8OrNull(),
    )

private fun outcomeResponse(outcome: AttemptOutcome): AggregatedHttpResponse =
    when (outcome) {
        AttemptOutcome.MayRun, AttemptOutcome.RecordUnavailable -> {
            refusalResponse(recordUnavailable)
        }

        is AttemptOutcome.AlreadyCompleted -> {
            replayedResponse(outcome)
        }

        AttemptOutcome.InProgressOrUnknown -> {
            failureResponse(mayHaveRun)
        }

        AttemptOutcome.DifferentContent -> {
            notRunResponse(
                HttpStatus.UNPROCESSABLE_ENTITY,
                "different_content",
                "The idempotency key was used for a request with different content.",
            )
        }
    }

private fun replayedResponse(outcome: AttemptOutcome.AlreadyCompleted): AggregatedHttpResponse {
    val body = outcome.body ?: return failureResponse(responseNotStored)
    val headers = ResponseHeaders.builder(HttpStatus.valueOf(outcome.status))
    if (outcome.contentType.isNotEmpty()) headers.contentType(MediaType.parse(outcome.contentType))
    return AggregatedHttpResponse.of(headers.build(), HttpData.ofUtf8(body))
}

private val recordUnavailable =
    RequestReply.NotRun(Refusal.RECORD_UNAVAILABLE, OVERLOADED_RETRY_MILLISECONDS, step = "attempt record", peer = "")

private val mayHaveRun =
    RequestReply.MayHaveRun("A request with this idempotency key may have run.", step = "attempt record", peer = "")

private val responseNotStored =
    RequestReply.MayHaveRun(
        "The request ran; its response was too large to store, or no text.",
        step = "attempt record",
        peer = "",
    )
