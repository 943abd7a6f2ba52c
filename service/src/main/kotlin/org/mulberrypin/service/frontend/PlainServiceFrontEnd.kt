/**
 * The HTTP interface for plain services: `/services/ROUTE/REST` goes to a backend server of the route as `/REST`. The
 * route says which methods may be repeated; all others run at most once.
 */
package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RouteKind
import org.mulberrypin.schema.generated.RoutePriority
import org.mulberrypin.service.requests.PlainSubmission

/** Adds the routes for plain services. */
internal fun plainServiceRoutes(parts: FrontEndParts): (ServerBuilder) -> Unit =
    { server ->
        server.service("prefix:$SERVICES_PATH") { context, call ->
            HttpResponse.of(
                call.aggregate().thenApply { admit(parts, it) { caller -> submit(parts, context, it, caller) } },
            )
        }
    }

private fun submit(
    parts: FrontEndParts,
    context: ServiceRequestContext,
    call: AggregatedHttpRequest,
    caller: Caller,
): HttpResponse {
    val request = parts.requests.nextNumber()
    val arrival = arrivalOf(parts, call, caller, request)
    val answer = plainAnswer()
    context.whenRequestCancelled().thenAccept { parts.requests.cancel(request) }
    val submission = PlainSubmission(arrival, forwarded(call, arrival.name), answer.acceptAnswer, answer.acceptReply)
    val idempotencyKey = call.headers().get(idempotencyKeyHeader)
    if (arrival.repeatable || idempotencyKey == null) {
        submitOrRefuse(parts, submission)
    } else {
        runKeyed(parts.attempts, submission, idempotencyKey, answer.respond) { submitOrRefuse(parts, it) }
    }
    return HttpResponse.of(answer.response)
}

private fun submitOrRefuse(
    parts: FrontEndParts,
    submission: PlainSubmission,
) {
    if (!parts.requests.submitPlain(submission)) {
        submission.onReply(RequestReply.NotRun(Refusal.OVERLOADED, OVERLOADED_RETRY_MILLISECONDS, "front end", ""))
    }
}

private fun arrivalOf(
    parts: FrontEndParts,
    call: AggregatedHttpRequest,
    caller: Caller,
    request: Long,
): RequestArrival {
    val routeName = call
        .path()
        .removePrefix(SERVICES_PATH)
        .substringBefore('/')
        .substringBefore('?')
    val route = parts.configuration().routes.firstOrNull { it.kind == RouteKind.PLAIN_SERVICE && it.name == routeName }
    val source =
        ArrivalSource(
            request = request,
            caller = caller,
            headers = call.headers(),
            route = routeName,
            content = "${call.method()} ${call.path()}\n${call.contentUtf8()}",
            prefix = "",
            priority = route?.priority ?: RoutePriority.INTERACTIVE,
            repeatable = route != null && isRepeatable(route, call),
            expectedTokens = 0,
        )
    return parts.arrivals.arrivalOf(source)
}

private fun isRepeatable(
    route: Route,
    call: AggregatedHttpRequest,
): Boolean = call.method().name in route.repeatableMethods

/** The call without the caller's key, with only the headers that a plain service needs. */
private fun forwarded(
    call: AggregatedHttpRequest,
    name: String,
): AggregatedHttpRequest {
    val path = "/" + call.path().removePrefix(SERVICES_PATH).substringAfter('/', missingDelimiterValue = "")
    val headers = RequestHeaders.builder(call.method(), path).add(REQUEST_ID_HEADER, name)
    forwardedHeaders.forEach { header -> call.headers().get(header)?.let { headers.add(header, it) } }
    return AggregatedHttpRequest.of(headers.build(), call.content())
}

private val idempotencyKeyHeader = HttpHeaderNames.of("idempotency-key")

private val forwardedHeaders =
    listOf(
        HttpHeaderNames.ACCEPT,
        HttpHeaderNames.ACCEPT_LANGUAGE,
        HttpHeaderNames.CONTENT_TYPE,
        HttpHeaderNames.IF_MATCH,
        HttpHeaderNames.IF_NONE_MATCH,
        idempotencyKeyHeader,
    )

private const val SERVICES_PATH = "/services/"
