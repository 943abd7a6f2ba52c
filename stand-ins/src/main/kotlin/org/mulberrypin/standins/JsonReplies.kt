/** Responses with JSON bodies, and the error response that all stand-ins share. */
package org.mulberrypin.standins

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.serialization.SerializationStrategy
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.ErrorAnswer
import org.mulberrypin.schema.generated.ErrorDetail

/** A response with status 200 and [message] as JSON. */
internal fun <Message> jsonReply(
    serializer: SerializationStrategy<Message>,
    message: Message,
): HttpResponse =
    HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, wireJson.encodeToString(serializer, message))

/** An error response which states that the operation [step] was not executed. */
internal fun notRunReply(
    status: HttpStatus,
    step: String,
    reason: String,
): HttpResponse {
    val detail = ErrorDetail(message = reason, type = "refused", run = "not_run", step = step)
    val headers = ResponseHeaders
        .builder(status)
        .contentType(MediaType.JSON_UTF_8)
        .add(HttpHeaderNames.RETRY_AFTER, "1")
        .build()
    val body = wireJson.encodeToString(ErrorAnswer.serializer(), ErrorAnswer(detail))
    return HttpResponse.of(headers, HttpData.ofUtf8(body))
}
