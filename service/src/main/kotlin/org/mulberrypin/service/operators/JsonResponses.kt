/** JSON responses shared by the operator endpoints. */
package org.mulberrypin.service.operators

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import kotlinx.serialization.SerializationStrategy
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.ErrorAnswer
import org.mulberrypin.schema.generated.ErrorDetail
import org.mulberrypin.service.NOT_RUN

/** Creates a JSON response with the value of [outcome], or with its fault and status 503. */
internal fun <Message> outcomeResponse(
    outcome: Outcome<Message>,
    serializer: SerializationStrategy<Message>,
): HttpResponse =
    when (outcome) {
        is Outcome.Success -> jsonResponse(HttpStatus.OK, serializer, outcome.value)
        is Outcome.Failure -> faultResponse(HttpStatus.SERVICE_UNAVAILABLE, outcome.fault)
    }

/** Creates the response to a request whose key is missing or unknown; [step] names the endpoint. */
internal fun unauthorizedResponse(step: String): HttpResponse =
    faultResponse(HttpStatus.UNAUTHORIZED, Fault(step, "", FaultKind.REFUSED, "Expected a valid bearer key."))

/** Creates an error response for [fault]. It states that the request changed nothing. */
internal fun faultResponse(
    status: HttpStatus,
    fault: Fault,
): HttpResponse {
    val detail = ErrorDetail(fault.detail, fault.kind.name.lowercase(), NOT_RUN, fault.step, fault.peer)
    return jsonResponse(status, ErrorAnswer.serializer(), ErrorAnswer(detail))
}

private fun <Message> jsonResponse(
    status: HttpStatus,
    serializer: SerializationStrategy<Message>,
    message: Message,
): HttpResponse = HttpResponse.of(status, MediaType.JSON_UTF_8, wireJson.encodeToString(serializer, message))
