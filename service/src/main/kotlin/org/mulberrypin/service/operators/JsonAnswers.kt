/** JSON answers that several routes for operators share. */
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

/** Answers the value of [outcome] as JSON, or its fault with status 503. */
internal fun <Message> outcomeResponse(
    outcome: Outcome<Message>,
    serializer: SerializationStrategy<Message>,
): HttpResponse =
    when (outcome) {
        is Outcome.Success -> jsonResponse(HttpStatus.OK, serializer, outcome.value)
        is Outcome.Failure -> faultResponse(HttpStatus.SERVICE_UNAVAILABLE, outcome.fault)
    }

/** Answers that the key of a request is missing or unknown. */
internal fun unauthorizedResponse(step: String): HttpResponse =
    faultResponse(HttpStatus.UNAUTHORIZED, Fault(step, "", FaultKind.REFUSED, "Expected a bearer key in force."))

/** Answers [fault]; nothing was changed by the request. */
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
