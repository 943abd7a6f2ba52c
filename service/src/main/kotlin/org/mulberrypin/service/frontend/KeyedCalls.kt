/**
 * Calls of plain services that must not be repeated and carry an idempotency key. The record of the attempt is written
 * before anything may be sent, so that a call that the caller sends again, to any instance, runs at most once.
 */
package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import org.mulberrypin.decisions.attempts.AttemptBegin
import org.mulberrypin.decisions.attempts.AttemptFinish
import org.mulberrypin.decisions.attempts.AttemptOutcome
import org.mulberrypin.decisions.attempts.AttemptResult
import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.service.attempts.AttemptPart
import org.mulberrypin.service.requests.PlainSubmission

/**
 * Has a call run if no call under its key may have run, and answers it otherwise from the record.
 *
 * @param respond sends the whole response to the caller
 * @param submit hands the call in; its replies are passed on after what became of it was recorded
 */
internal fun runKeyed(
    attempts: AttemptPart,
    submission: PlainSubmission,
    idempotencyKey: String,
    respond: (AggregatedHttpResponse) -> Unit,
    submit: (PlainSubmission) -> Unit,
) {
    val arrival = submission.arrival
    val begin = AttemptBegin(arrival.request, arrival.team, idempotencyKey, arrival.contentDigest)
    val offered =
        attempts.begin(begin) { outcome ->
            when (outcome) {
                AttemptOutcome.MayRun -> submit(recorded(attempts, submission))
                else -> respond(responseTo(outcome))
            }
        }
    if (!offered) respond(refusalResponse(recordUnavailable))
}

private fun recorded(
    attempts: AttemptPart,
    submission: PlainSubmission,
): PlainSubmission {
    var answer: AggregatedHttpResponse? = null
    return submission.copy(
        onAnswer = {
            answer = it
            submission.onAnswer(it)
        },
        onReply = { reply ->
            resultOf(reply, answer)?.let { attempts.finish(AttemptFinish(submission.arrival.request, it)) }
            submission.onReply(reply)
        },
    )
}

private fun resultOf(
    reply: RequestReply,
    answer: AggregatedHttpResponse?,
): AttemptResult? =
    when (reply) {
        is RequestReply.NotRun -> AttemptResult.NotRun
        is RequestReply.Finished -> answer?.let(::answered)
        is RequestReply.Part, is RequestReply.MayHaveRun -> null
    }

private fun answered(answer: AggregatedHttpResponse): AttemptResult =
    AttemptResult.Answered(
        status = answer.status().code(),
        contentType = answer.contentType()?.toString().orEmpty(),
        body = answer.contentUtf8(),
    )

private fun responseTo(outcome: AttemptOutcome): AggregatedHttpResponse =
    when (outcome) {
        AttemptOutcome.MayRun, AttemptOutcome.RecordUnavailable -> {
            refusalResponse(recordUnavailable)
        }

        is AttemptOutcome.AlreadyAnswered -> {
            repeatedResponse(outcome)
        }

        AttemptOutcome.UnderWayOrUnknown -> {
            failureResponse(underWay)
        }

        AttemptOutcome.DifferentContent -> {
            notRunResponse(
                HttpStatus.UNPROCESSABLE_ENTITY,
                "different_content",
                "The idempotency key was used for a request with another content.",
            )
        }
    }

private fun repeatedResponse(outcome: AttemptOutcome.AlreadyAnswered): AggregatedHttpResponse {
    val body = outcome.body ?: return failureResponse(tooLargeToKeep)
    val headers = ResponseHeaders.builder(HttpStatus.valueOf(outcome.status))
    if (outcome.contentType.isNotEmpty()) headers.contentType(MediaType.parse(outcome.contentType))
    return AggregatedHttpResponse.of(headers.build(), HttpData.ofUtf8(body))
}

private val recordUnavailable =
    RequestReply.NotRun(Refusal.RECORD_UNAVAILABLE, OVERLOADED_RETRY_MILLISECONDS, step = "attempt record", peer = "")

private val underWay =
    RequestReply.MayHaveRun("A request under this idempotency key may have run.", step = "attempt record", peer = "")

private val tooLargeToKeep =
    RequestReply.MayHaveRun("The request ran; its answer was too large to be kept.", step = "attempt record", peer = "")
