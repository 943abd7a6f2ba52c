package org.mulberrypin.standins.load

import com.linecorp.armeria.common.HttpStatus
import org.mulberrypin.standins.text.AnswerCheck

/** Sends a write named [name] to the plain service [route], under a key if [isKeyed], and checks the answer. */
internal fun attemptWrite(
    client: EntryClient,
    route: String,
    name: String,
    isKeyed: Boolean,
): AttemptResult {
    var failure: AttemptResult = AttemptResult.Cut
    val headers = mapOf(REQUEST_ID_HEADER to name) + if (isKeyed) mapOf("idempotency-key" to name) else emptyMap()
    val response = client.post("/services/$route/orders", name, headers) { failure = it } ?: return failure
    return when {
        response.status != HttpStatus.OK -> refusal(response.body)
        response.body.endsWith(" $name") -> AttemptResult.Answered(AnswerCheck.WHOLE, firstPartMilliseconds = 0)
        else -> AttemptResult.Answered(AnswerCheck.CROSSED, firstPartMilliseconds = 0)
    }
}
