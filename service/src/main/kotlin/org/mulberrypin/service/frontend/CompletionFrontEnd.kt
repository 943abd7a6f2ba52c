/**
 * The HTTP interface for completions and chat completions, streamed or whole. Event loops translate and offer; the
 * duty that carries requests decides.
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
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.RouteKind
import org.mulberrypin.schema.generated.RoutePriority
import org.mulberrypin.service.requests.RequestSubmission

/** Adds the routes for completions. */
internal fun completionRoutes(parts: FrontEndParts): (ServerBuilder) -> Unit =
    { server ->
        server.service("/v1/completions") { context, call -> serve(parts, context, call) }
        server.service("/v1/chat/completions") { context, call -> serve(parts, context, call) }
    }

private fun serve(
    parts: FrontEndParts,
    context: ServiceRequestContext,
    call: HttpRequest,
): HttpResponse = HttpResponse.of(
    call.aggregate().thenApply {
        admit(parts, it) { caller -> answerCaller(parts, context, it, caller) }
    },
)

private fun answerCaller(
    parts: FrontEndParts,
    context: ServiceRequestContext,
    call: AggregatedHttpRequest,
    caller: Caller,
): HttpResponse =
    when (val content = parseWireJson(call.contentUtf8(), CompletionRequest.serializer(), "front end", "caller")) {
        is Outcome.Failure -> {
            notRunResponse(HttpStatus.BAD_REQUEST, "invalid_request", content.fault.detail).toHttpResponse()
        }

        is Outcome.Success -> {
            submit(parts, context, call, caller, content.value)
        }
    }

private fun submit(
    parts: FrontEndParts,
    context: ServiceRequestContext,
    call: AggregatedHttpRequest,
    caller: Caller,
    content: CompletionRequest,
): HttpResponse {
    val request = parts.requests.nextNumber()
    val prompt = promptOf(content)
    val source =
        ArrivalSource(
            request = request,
            caller = caller,
            headers = call.headers(),
            route = content.model,
            content = "${content.model}\n$prompt",
            prefix = prompt,
            priority = priorityOf(parts.configuration(), content.model),
            repeatable = true,
            expectedTokens = expectedTokens(content),
        )
    val arrival = parts.arrivals.arrivalOf(source)
    val stream = answerStream(arrival.name, content)
    context.whenRequestCancelled().thenAccept { parts.requests.cancel(request) }
    if (!parts.requests.submit(RequestSubmission(arrival, content, stream.accept))) {
        stream.accept(RequestReply.NotRun(Refusal.OVERLOADED, OVERLOADED_RETRY_MILLISECONDS, "front end", ""))
    }
    return HttpResponse.of(stream.response)
}

private fun priorityOf(
    configuration: Configuration,
    model: String,
): RoutePriority =
    configuration.routes
        .firstOrNull { it.kind == RouteKind.MODEL && it.name == model }
        ?.priority ?: RoutePriority.INTERACTIVE

/** Wait before asking again when the ring of the request duty is full, in milliseconds. */
internal const val OVERLOADED_RETRY_MILLISECONDS = 1_000L
