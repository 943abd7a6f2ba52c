/**
 * The HTTP endpoint for plain services: a request to `/services/ROUTE/PATH` is forwarded to a backend server of the
 * route as `/PATH`. The route defines which methods may be repeated; all others run at most once.
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
import org.mulberrypin.platform.onCallerDeparture
import org.mulberrypin.runtime.decodeUtf8OrNull
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RouteKind
import org.mulberrypin.schema.generated.RoutePriority
import org.mulberrypin.service.requests.ServiceSubmission
import java.util.Base64

/** Registers the endpoint for plain services. */
internal fun plainServiceRoutes(dependencies: FrontEndDependencies): (ServerBuilder) -> Unit =
    { server ->
        server.service("prefix:$SERVICES_PATH") { context, call ->
            HttpResponse.of(
                call.aggregate().thenApply {
                    serveAdmitted(dependencies, it) { caller -> submit(dependencies, context, it, caller) }
                },
            )
        }
    }

private fun submit(
    dependencies: FrontEndDependencies,
    context: ServiceRequestContext,
    call: AggregatedHttpRequest,
    caller: Caller,
): HttpResponse {
    val request = dependencies.requests.nextRequestNumber()
    val arrival = createArrival(dependencies, call, caller, request)
    val responder = serviceResponder()
    val submission =
        ServiceSubmission(
            arrival,
            forwardedRequest(call, arrival.requestId),
            responder.onServiceResponse,
            responder.onReply,
        )
    val idempotencyKey = call.headers().get(idempotencyKeyHeader)
    if (arrival.repeatable || idempotencyKey == null) {
        submitOrRefuse(dependencies, submission)
    } else {
        runAtMostOnce(dependencies.attempts, submission, idempotencyKey, responder.respond) {
            submitOrRefuse(dependencies, it)
        }
    }
    context.onCallerDeparture { dependencies.requests.cancel(request) }
    return HttpResponse.of(responder.response)
}

private fun submitOrRefuse(
    dependencies: FrontEndDependencies,
    submission: ServiceSubmission,
) {
    if (!dependencies.requests.submitServiceCall(submission)) {
        submission.onReply(RequestReply.NotRun(Refusal.OVERLOADED, OVERLOADED_RETRY_MILLISECONDS, "front end", ""))
    }
}

private fun createArrival(
    dependencies: FrontEndDependencies,
    call: AggregatedHttpRequest,
    caller: Caller,
    request: Long,
): RequestArrival {
    val routeName = call
        .path()
        .removePrefix(SERVICES_PATH)
        .substringBefore('/')
        .substringBefore('?')
    val route = dependencies.configuration().routes.firstOrNull {
        it.kind == RouteKind.PLAIN_SERVICE && it.name == routeName
    }
    val source =
        ArrivalSource(
            request = request,
            caller = caller,
            headers = call.headers(),
            route = routeName,
            content = "${call.method()} ${call.path()}\n${textOf(call.content().array())}",
            prefix = "",
            priority = route?.priority ?: RoutePriority.INTERACTIVE,
            repeatable = route != null && isRepeatable(route, call),
            expectedTokens = 0,
        )
    return dependencies.arrivals.create(source)
}

/** Returns a text that tells any two bodies apart: base64 for bytes that are not UTF-8. */
private fun textOf(body: ByteArray): String = body.decodeUtf8OrNull() ?: Base64.getEncoder().encodeToString(body)

private fun isRepeatable(
    route: Route,
    call: AggregatedHttpRequest,
): Boolean = call.method().name in route.repeatableMethods

/** Returns the request for the backend server: without the caller's key, with only the [forwardedHeaders]. */
private fun forwardedRequest(
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
