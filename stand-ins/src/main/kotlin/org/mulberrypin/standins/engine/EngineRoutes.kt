/** The HTTP routes of the engine stand-in. */
package org.mulberrypin.standins.engine

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.EngineWeightOrder
import org.mulberrypin.standins.HttpExchange
import org.mulberrypin.standins.StandInCall
import org.mulberrypin.standins.openExchange
import org.mulberrypin.standins.received.receivedRequest

/** Parses an HTTP request into an operation; the exchange receives the response to it. */
private typealias EngineOperationParser = (HttpExchange, AggregatedHttpRequest) -> Outcome<EngineOperation>

/** Adds the routes of an engine for [model]; [submit] receives each call. */
internal fun addEngineRoutes(
    builder: ServerBuilder,
    model: String,
    submit: (StandInCall<EngineOperation>) -> Unit,
) {
    val add = { method: HttpMethod, path: String, name: String, parse: EngineOperationParser ->
        builder.route().path(path).methods(method).build { context, request ->
            openExchange(context) { exchange ->
                request.aggregate().thenAccept { body ->
                    when (val operation = parse(exchange, body)) {
                        is Outcome.Success -> submit(
                            StandInCall(name, operation.value, exchange, receivedRequest(body)),
                        )

                        is Outcome.Failure -> exchange.respond(badRequest(operation.fault.detail))
                    }
                }
            }
        }
    }
    add(HttpMethod.POST, "/v1/completions", "completion", completionParser(model, isChat = false))
    add(HttpMethod.POST, "/v1/chat/completions", "completion", completionParser(model, isChat = true))
    add(HttpMethod.POST, "/orders/weights", "weights") { _, body -> parseWeightOrder(body) }
    add(HttpMethod.GET, "/load", "load") { _, _ -> Outcome.Success(EngineOperation.ReportLoad) }
    add(HttpMethod.GET, "/health", "health") { _, _ -> Outcome.Success(EngineOperation.ReportHealth) }
}

private fun completionParser(
    model: String,
    isChat: Boolean,
): EngineOperationParser =
    { exchange, body ->
        parseWireJson(body.contentUtf8(), CompletionRequest.serializer(), "completion", "client").map { request ->
            val chunks =
                ChunkBuilder(
                    isChat,
                    id = body.headers().get("x-request-id") ?: "answer",
                    model = request.model.ifEmpty { model },
                )
            val output = if (request.stream) streamedOutput(exchange, chunks) else bufferedOutput(exchange, chunks)
            EngineOperation.Complete(request, output)
        }
    }

private fun parseWeightOrder(body: AggregatedHttpRequest): Outcome<EngineOperation> =
    parseWireJson(body.contentUtf8(), EngineWeightOrder.serializer(), "weights", "client")
        .map(EngineOperation::LoadWeights)

/** The response to a request that cannot be parsed or whose answer cannot be resumed. */
internal fun badRequest(detail: String): HttpResponse =
    HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, detail)
