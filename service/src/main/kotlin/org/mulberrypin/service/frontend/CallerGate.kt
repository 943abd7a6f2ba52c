/**
 * Tells who sends a request, and keeps keys away from backend servers. A request that carries its own key anywhere
 * but in the authorization header is refused, because that part would be forwarded.
 */
package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.KeyRole

/** Who sends a request, or the answer that refuses it. */
internal sealed interface CallerGate {
    /** The request may go on for [caller]. */
    data class Admitted(
        val caller: Caller,
    ) : CallerGate

    /** The request is refused with [response]. */
    data class Refused(
        val response: AggregatedHttpResponse,
    ) : CallerGate
}

/**
 * Decides who sends [call]; refuses it when the instance cannot tell whether its configuration is in force. A request
 * without a key goes on for no team, which only routes open to all admit.
 */
internal fun callerGate(
    call: AggregatedHttpRequest,
    certain: () -> Boolean,
    authenticate: (String?) -> Caller?,
): CallerGate {
    if (!certain()) return CallerGate.Refused(refusalResponse(uncertain))
    val header = call.headers().get(HttpHeaderNames.AUTHORIZATION) ?: return CallerGate.Admitted(nobody)
    val caller = authenticate(header)
    return when {
        caller == null -> {
            refused(HttpStatus.UNAUTHORIZED, "unknown_key", "The key is unknown or was withdrawn.")
        }

        carriesKey(call, keyText(header)) -> {
            refused(HttpStatus.BAD_REQUEST, "key_in_content", "The key may stand in the authorization header only.")
        }

        else -> {
            CallerGate.Admitted(caller)
        }
    }
}

/** Answers [call] for its caller, or refuses it. */
internal fun admit(
    parts: FrontEndParts,
    call: AggregatedHttpRequest,
    answer: (Caller) -> HttpResponse,
): HttpResponse =
    when (val gate = callerGate(call, parts.certain, parts.authenticate)) {
        is CallerGate.Refused -> gate.response.toHttpResponse()
        is CallerGate.Admitted -> answer(gate.caller)
    }

private fun carriesKey(
    call: AggregatedHttpRequest,
    key: String,
): Boolean {
    val otherHeaders = call.headers().filter { it.key != HttpHeaderNames.AUTHORIZATION }
    return key.isNotEmpty() &&
        (key in call.path() || key in call.contentUtf8() || otherHeaders.any { key in it.value })
}

private fun keyText(header: String): String = header.substringAfter(' ').trim()

private fun refused(
    status: HttpStatus,
    type: String,
    message: String,
): CallerGate = CallerGate.Refused(notRunResponse(status, type, message))

private val uncertain =
    RequestReply.NotRun(Refusal.CONFIGURATION_UNCERTAIN, OVERLOADED_RETRY_MILLISECONDS, step = "front end", peer = "")

private val nobody = Caller(team = "", keyName = "", role = KeyRole.CALLER)
