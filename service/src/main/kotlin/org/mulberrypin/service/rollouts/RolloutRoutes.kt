/**
 * The HTTP interface for trainers: POST /v1/rollouts/steps with a StepRequest and POST /v1/rollouts/batches with a
 * BatchRequest, each answered by a BatchAnswer. 401 without a key in force, 403 for a key without the role of a
 * trainer, 400 for a request that cannot be read, 409 for one that the step refuses, 503 with Retry-After when this
 * instance cannot take the call; nothing is lost by it.
 */
package org.mulberrypin.service.rollouts

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.decisions.rollouts.TrainerAsk
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.then
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.ErrorAnswer
import org.mulberrypin.schema.generated.ErrorDetail
import org.mulberrypin.schema.generated.KeyRole
import org.mulberrypin.schema.generated.StepRequest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage

private const val LARGEST_REQUEST_BYTES = 64L * 1024 * 1024
private const val STEP = "take rollout call"

internal fun addRolloutRoutes(
    builder: ServerBuilder,
    authenticate: (String?) -> Caller?,
    offer: (RolloutInput) -> Boolean,
) {
    addRoute(builder, "/v1/rollouts/steps") { request, context ->
        answerCall(request, context, authenticate, offer, ::readStepRequest)
    }
    addRoute(builder, "/v1/rollouts/batches") { request, context ->
        answerCall(request, context, authenticate, offer, ::readBatchRequest)
    }
}

private fun addRoute(
    builder: ServerBuilder,
    path: String,
    handle: (AggregatedHttpRequest, ServiceRequestContext) -> CompletionStage<HttpResponse>,
) {
    builder
        .route()
        .post(path)
        .maxRequestLength(LARGEST_REQUEST_BYTES)
        .build { context, request ->
            HttpResponse.of(request.aggregate().thenCompose { handle(it, context) })
        }
}

private fun answerCall(
    request: AggregatedHttpRequest,
    context: ServiceRequestContext,
    authenticate: (String?) -> Caller?,
    offer: (RolloutInput) -> Boolean,
    read: (String, Caller) -> Outcome<(Long) -> TrainerAsk>,
): CompletionStage<HttpResponse> {
    val caller = authenticate(request.headers().get(HttpHeaderNames.AUTHORIZATION))
    return when (caller?.role) {
        null -> completed(errorResponse(HttpStatus.UNAUTHORIZED, "A key in force is needed."))

        KeyRole.TRAINER -> when (val numbered = read(request.contentUtf8(), caller)) {
            is Outcome.Failure -> completed(errorResponse(HttpStatus.BAD_REQUEST, numbered.fault.detail))
            is Outcome.Success -> offerCall(numbered.value, context, offer)
        }

        else -> completed(errorResponse(HttpStatus.FORBIDDEN, "A key with the role of a trainer is needed."))
    }
}

private fun completed(response: HttpResponse) = CompletableFuture.completedFuture(response)

private fun offerCall(
    numbered: (Long) -> TrainerAsk,
    context: ServiceRequestContext,
    offer: (RolloutInput) -> Boolean,
): CompletionStage<HttpResponse> {
    val answer = CompletableFuture<BatchAnswer>()
    return if (offer(RolloutInput.TrainerCall(numbered) { answer.complete(it) })) {
        answer.thenApplyAsync(::responseOf, context.blockingTaskExecutor())
    } else {
        completed(errorResponse(HttpStatus.SERVICE_UNAVAILABLE, "The ring of rollout calls is full; ask again."))
    }
}

private fun readStepRequest(
    content: String,
    caller: Caller,
): Outcome<(Long) -> TrainerAsk> =
    parseWireJson(content, StepRequest.serializer(), STEP, caller.keyName)
        .map { it.copy(team = caller.team, keyName = caller.keyName) }
        .then { checkStepRequest(it) }
        .map { request -> { ask -> TrainerAsk.Open(ask, request) } }

private fun readBatchRequest(
    content: String,
    caller: Caller,
): Outcome<(Long) -> TrainerAsk> =
    parseWireJson(content, BatchRequest.serializer(), STEP, caller.keyName)
        .map { it.copy(team = caller.team, keyName = caller.keyName) }
        .then { checkBatchRequest(it) }
        .map { request -> { ask -> TrainerAsk.NextBatch(ask, request, passedOn = false) } }

private fun responseOf(answer: BatchAnswer): HttpResponse {
    val isRefusal = answer.failure.isNotEmpty() && !answer.complete
    val status = if (isRefusal) HttpStatus.CONFLICT else HttpStatus.OK
    return HttpResponse.of(status, MediaType.JSON, wireJson.encodeToString(BatchAnswer.serializer(), answer))
}

private fun errorResponse(
    status: HttpStatus,
    message: String,
): HttpResponse {
    val answer = ErrorAnswer(ErrorDetail(message = message, type = "rollout", run = "not_run", step = STEP))
    val headers = ResponseHeaders
        .builder(status)
        .contentType(MediaType.JSON)
    if (status == HttpStatus.SERVICE_UNAVAILABLE) {
        headers.add(HttpHeaderNames.RETRY_AFTER, "1")
    }
    val content = wireJson.encodeToString(ErrorAnswer.serializer(), answer)
    return HttpResponse.of(headers.build(), HttpData.ofUtf8(content))
}
