/**
 * The HTTP endpoints for completions and chat completions, streamed or not. Event loops only parse requests and offer
 * them to the ring of the request duty, which makes the decisions.
 */
package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.decisions.requests.Refusal
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.platform.onCallerDeparture
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.RouteKind
import org.mulberrypin.schema.generated.RoutePriority
import org.mulberrypin.service.requests.RequestSubmission

/** Registers the endpoints for completions. */
internal fun completionRoutes(dependencies: FrontEndDependencies): (ServerBuilder) -> Unit =
    { server ->
        server.service("/v1/completions") { context, call -> serve(dependencies, context, call) }
        server.service("/v1/chat/completions") { context, call -> serve(dependencies, context, call) }
    }

private fun serve(
    dependencies: FrontEndDependencies,
    context: ServiceRequestContext,
    call: HttpRequest,
): HttpResponse = HttpResponse.of(
    call.aggregate().thenApply {
        serveAdmitted(dependencies, it) { caller -> parseAndSubmit(dependencies, context, it, caller) }
    },
)

private fun parseAndSubmit(
    dependencies: FrontEndDependencies,
    context: ServiceRequestContext,
    call: AggregatedHttpRequest,
    caller: Caller,
): HttpResponse =
    when (val content = parseWireJson(call.content().array(), CompletionRequest.serializer(), "front end", "caller")) {
        is Outcome.Failure -> {
            notRunResponse(HttpStatus.BAD_REQUEST, "invalid_request", content.fault.detail).toHttpResponse()
        }

        is Outcome.Success -> {
            submit(dependencies, context, call, caller, content.value)
        }
    }

private fun submit(
    dependencies: FrontEndDependencies,
    context: ServiceRequestContext,
    call: AggregatedHttpRequest,
    caller: Caller,
    content: CompletionRequest,
): HttpResponse {
    val request = dependencies.requests.nextRequestNumber()
    val prompt = promptText(content)
    val source =
        ArrivalSource(
            request = request,
            caller = caller,
            headers = call.headers(),
            route = content.model,
            content = "${content.model}\n$prompt",
            prefix = prompt,
            priority = routePriority(dependencies.configuration(), content.model),
            repeatable = true,
            expectedTokens = expectedTokens(content),
        )
    val arrival = dependencies.arrivals.create(source)
    val responder = completionResponder(arrival.requestId, content)
    if (!dependencies.requests.submit(RequestSubmission(arrival, content, responder.onReply))) {
        responder.onReply(RequestReply.NotRun(Refusal.OVERLOADED, OVERLOADED_RETRY_MILLISECONDS, "front end", ""))
    }
    context.onCallerDeparture { dependencies.requests.cancel(request) }
    return HttpResponse.of(responder.response)
}

private fun routePriority(
    configuration: Configuration,
    model: String,
): RoutePriority =
    configuration.routes
        .firstOrNull { it.kind == RouteKind.MODEL && it.name == model }
        ?.priority ?: RoutePriority.INTERACTIVE

/** Time after which a caller may retry if the request duty's ring is full, in milliseconds. */
internal const val OVERLOADED_RETRY_MILLISECONDS = 1_000L
