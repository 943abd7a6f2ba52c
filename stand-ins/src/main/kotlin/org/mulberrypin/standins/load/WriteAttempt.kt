package org.mulberrypin.standins.load

import com.linecorp.armeria.common.HttpStatus
import org.mulberrypin.standins.text.AnswerCheck

/** Sends a write named [name] to the plain service [route] under an idempotency key and checks the answer. */
internal fun attemptWrite(
    client: EntryClient,
    route: String,
    name: String,
): AttemptResult {
    var failure: AttemptResult = AttemptResult.Cut
    val headers = mapOf(REQUEST_ID_HEADER to name, "idempotency-key" to name)
    val response = client.post("/services/$route/orders", name, headers) { failure = it } ?: return failure
    return when {
        response.status != HttpStatus.OK -> refusal(response.body)
        response.body.endsWith(" $name") -> AttemptResult.Answered(AnswerCheck.WHOLE, firstPartMilliseconds = 0)
        else -> AttemptResult.Answered(AnswerCheck.CROSSED, firstPartMilliseconds = 0)
    }
}
