/** The HTTP interface of the engine stand-in. */
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

/** Reads an operation out of a request that belongs to an exchange. */
private typealias EngineOperationReader = (HttpExchange, AggregatedHttpRequest) -> Outcome<EngineOperation>

/** Adds the routes of an engine for [model]; [submit] takes each call. */
internal fun addEngineRoutes(
    builder: ServerBuilder,
    model: String,
    submit: (StandInCall<EngineOperation>) -> Unit,
) {
    val add = { method: HttpMethod, path: String, name: String, read: EngineOperationReader ->
        builder.route().path(path).methods(method).build { context, request ->
            openExchange(context) { exchange ->
                request.aggregate().thenAccept { body ->
                    when (val operation = read(exchange, body)) {
                        is Outcome.Success -> submit(
                            StandInCall(name, operation.value, exchange, receivedRequest(body)),
                        )

                        is Outcome.Failure -> exchange.respond(badRequest(operation.fault.detail))
                    }
                }
            }
        }
    }
    add(HttpMethod.POST, "/v1/completions", "completion", completionReader(model, isChat = false))
    add(HttpMethod.POST, "/v1/chat/completions", "completion", completionReader(model, isChat = true))
    add(HttpMethod.POST, "/orders/weights", "weights") { _, body -> readWeightOrder(body) }
    add(HttpMethod.GET, "/load", "load") { _, _ -> Outcome.Success(EngineOperation.ReportLoad) }
    add(HttpMethod.GET, "/health", "health") { _, _ -> Outcome.Success(EngineOperation.ReportHealth) }
}

private fun completionReader(
    model: String,
    isChat: Boolean,
): EngineOperationReader =
    { exchange, body ->
        parseWireJson(body.contentUtf8(), CompletionRequest.serializer(), "completion", "client").map { request ->
            val form =
                ChunkForm(
                    isChat,
                    id = body.headers().get("x-request-id") ?: "answer",
                    model = request.model.ifEmpty { model },
                )
            val output = if (request.stream) streamedOutput(exchange, form) else wholeOutput(exchange, form)
            EngineOperation.Complete(request, output)
        }
    }

private fun readWeightOrder(body: AggregatedHttpRequest): Outcome<EngineOperation> =
    parseWireJson(body.contentUtf8(), EngineWeightOrder.serializer(), "weights", "client")
        .map(EngineOperation::LoadWeights)

/** A response to a request that cannot be read or continued. */
internal fun badRequest(detail: String): HttpResponse =
    HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, detail)
