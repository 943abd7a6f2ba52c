/**
 * Authenticates callers. A request that contains its own key anywhere except in the authorization header is refused,
 * because the other parts are forwarded to backend servers, which must not receive keys.
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

/** The result of authenticating a request: its caller, or the response that refuses it. */
internal sealed interface CallerGate {
    /** The request is accepted as a request of [caller]. */
    data class Admitted(
        val caller: Caller,
    ) : CallerGate

    /** The request is refused; [response] is sent to the caller. */
    data class Refused(
        val response: AggregatedHttpResponse,
    ) : CallerGate
}

/**
 * Authenticates [call]. Refuses it if the instance cannot verify that its configuration is in force. A request without
 * a key is accepted without a team; only routes that are open to all admit such requests.
 */
internal fun authenticateCaller(
    call: AggregatedHttpRequest,
    isConfigurationConfirmed: () -> Boolean,
    authenticate: (String?) -> Caller?,
): CallerGate {
    if (!isConfigurationConfirmed()) return CallerGate.Refused(refusalResponse(configurationUnconfirmed))
    val header = call.headers().get(HttpHeaderNames.AUTHORIZATION) ?: return CallerGate.Admitted(anonymousCaller)
    val caller = authenticate(header)
    return when {
        caller == null -> {
            refused(HttpStatus.UNAUTHORIZED, "unknown_key", "The key is unknown or was withdrawn.")
        }

        containsKey(call, bearerKey(header)) -> {
            refused(HttpStatus.BAD_REQUEST, "key_in_content", "The key is allowed only in the authorization header.")
        }

        else -> {
            CallerGate.Admitted(caller)
        }
    }
}

/** Responds to [call] with the result of [serve], or with the refusal if the call is not admitted. */
internal fun serveAdmitted(
    dependencies: FrontEndDependencies,
    call: AggregatedHttpRequest,
    serve: (Caller) -> HttpResponse,
): HttpResponse =
    when (val gate = authenticateCaller(call, dependencies.isConfigurationConfirmed, dependencies.authenticate)) {
        is CallerGate.Refused -> gate.response.toHttpResponse()
        is CallerGate.Admitted -> serve(gate.caller)
    }

private fun containsKey(
    call: AggregatedHttpRequest,
    key: String,
): Boolean {
    val otherHeaders = call.headers().filter { it.key != HttpHeaderNames.AUTHORIZATION }
    return key.isNotEmpty() &&
        (key in call.path() || key in call.contentUtf8() || otherHeaders.any { key in it.value })
}

private fun bearerKey(header: String): String = header.substringAfter(' ').trim()

private fun refused(
    status: HttpStatus,
    type: String,
    message: String,
): CallerGate = CallerGate.Refused(notRunResponse(status, type, message))

private val configurationUnconfirmed =
    RequestReply.NotRun(Refusal.CONFIGURATION_UNCERTAIN, OVERLOADED_RETRY_MILLISECONDS, step = "front end", peer = "")

private val anonymousCaller = Caller(team = "", keyName = "", role = KeyRole.CALLER)
