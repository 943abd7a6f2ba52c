package org.mulberrypin.standins.load

import com.linecorp.armeria.common.HttpStatus
import org.mulberrypin.standins.text.AnswerCheck

/** Sends the write [name] to a plain service, with an idempotency key if [isKeyed], and verifies the response. */
internal fun attemptWrite(
    client: EntryClient,
    route: String,
    name: String,
    isKeyed: Boolean,
): AttemptResult {
    var failure: AttemptResult = AttemptResult.NoResponse
    val headers = mapOf(REQUEST_ID_HEADER to name) + if (isKeyed) mapOf("idempotency-key" to name) else emptyMap()
    val response = client.post("/services/$route/orders", name, headers) { failure = it } ?: return failure
    return when {
        response.status != HttpStatus.OK -> parseRefusal(response.body)
        response.body.endsWith(" $name") -> AttemptResult.Answered(AnswerCheck.COMPLETE, firstChunkMilliseconds = 0)
        else -> AttemptResult.Answered(AnswerCheck.MISMATCHED, firstChunkMilliseconds = 0)
    }
}
