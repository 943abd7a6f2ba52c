/**
 * HTTP endpoints for trainers: POST /v1/rollouts/steps takes a StepRequest and POST /v1/rollouts/batches takes a
 * BatchRequest; both return a BatchAnswer. Status 401: missing or unknown key. 403: the key lacks the trainer role.
 * 400: invalid request. 409: rejected by the step. 503 with Retry-After: this instance is overloaded; the call had no
 * effect and can be repeated.
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
import org.mulberrypin.decisions.rollouts.TrainerCall
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.encodeWireJson
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.then
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.ErrorAnswer
import org.mulberrypin.schema.generated.ErrorDetail
import org.mulberrypin.schema.generated.KeyRole
import org.mulberrypin.schema.generated.StepRequest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage

private const val MAX_REQUEST_BYTES = 64L * 1024 * 1024
private const val STEP = "take rollout call"

/** Adds the endpoints; [offer] queues a call and returns false when the ring is full. */
internal fun addRolloutRoutes(
    builder: ServerBuilder,
    authenticate: (String?) -> Caller?,
    offer: (RolloutInput) -> Boolean,
) {
    addRoute(builder, "/v1/rollouts/steps") { request, context ->
        handleCall(request, context, authenticate, offer, ::readStepRequest)
    }
    addRoute(builder, "/v1/rollouts/batches") { request, context ->
        handleCall(request, context, authenticate, offer, ::readBatchRequest)
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
        .maxRequestLength(MAX_REQUEST_BYTES)
        .build { context, request ->
            HttpResponse.of(request.aggregate().thenCompose { handle(it, context) })
        }
}

private fun handleCall(
    request: AggregatedHttpRequest,
    context: ServiceRequestContext,
    authenticate: (String?) -> Caller?,
    offer: (RolloutInput) -> Boolean,
    read: (ByteArray, Caller) -> Outcome<(Long) -> TrainerCall>,
): CompletionStage<HttpResponse> {
    val caller = authenticate(request.headers().get(HttpHeaderNames.AUTHORIZATION))
    return when (caller?.role) {
        null -> completed(errorResponse(HttpStatus.UNAUTHORIZED, "Expected a valid key in the Authorization header."))

        KeyRole.TRAINER -> when (val createCall = read(request.content().array(), caller)) {
            is Outcome.Failure -> completed(errorResponse(HttpStatus.BAD_REQUEST, createCall.fault.detail))
            is Outcome.Success -> enqueueCall(createCall.value, context, offer)
        }

        else -> completed(errorResponse(HttpStatus.FORBIDDEN, "Expected a key with the trainer role."))
    }
}

private fun completed(response: HttpResponse) = CompletableFuture.completedFuture(response)

private fun enqueueCall(
    createCall: (Long) -> TrainerCall,
    context: ServiceRequestContext,
    offer: (RolloutInput) -> Boolean,
): CompletionStage<HttpResponse> {
    val answer = CompletableFuture<BatchAnswer>()
    return if (offer(RolloutInput.StepCall(createCall) { answer.complete(it) })) {
        answer.thenApplyAsync(::batchResponse, context.blockingTaskExecutor())
    } else {
        completed(errorResponse(HttpStatus.SERVICE_UNAVAILABLE, "The ring of rollout calls is full; retry later."))
    }
}

private fun readStepRequest(
    content: ByteArray,
    caller: Caller,
): Outcome<(Long) -> TrainerCall> =
    parseWireJson(content, StepRequest.serializer(), STEP, caller.keyName)
        .map { it.copy(team = caller.team, keyName = caller.keyName) }
        .then { validateStepRequest(it) }
        .map { request -> { callNumber -> TrainerCall.Open(callNumber, request) } }

private fun readBatchRequest(
    content: ByteArray,
    caller: Caller,
): Outcome<(Long) -> TrainerCall> =
    parseWireJson(content, BatchRequest.serializer(), STEP, caller.keyName)
        .map { it.copy(team = caller.team, keyName = caller.keyName) }
        .then { validateBatchRequest(it) }
        .map { request -> { callNumber -> TrainerCall.NextBatch(callNumber, request, isForwarded = false) } }

private fun batchResponse(answer: BatchAnswer): HttpResponse {
    val isRefusal = answer.failure.isNotEmpty() && !answer.complete
    val status = if (isRefusal) HttpStatus.CONFLICT else HttpStatus.OK
    return HttpResponse.of(status, MediaType.JSON, encodeWireJson(BatchAnswer.serializer(), answer))
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
    val content = encodeWireJson(ErrorAnswer.serializer(), answer)
    return HttpResponse.of(headers.build(), HttpData.ofUtf8(content))
}
