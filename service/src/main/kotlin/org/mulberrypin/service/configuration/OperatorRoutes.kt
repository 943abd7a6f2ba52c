/**
 * HTTP endpoints with which operators read and change the configuration. The server's threads only parse and encode:
 * patches are queued for the configuration duty, history reads for the store duty.
 */
package org.mulberrypin.service.configuration

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.SerializationStrategy
import org.mulberrypin.decisions.configuration.SubmissionResult
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationHistory
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.ErrorAnswer
import org.mulberrypin.schema.generated.ErrorDetail
import org.mulberrypin.schema.generated.PatchAnswer
import java.util.concurrent.CompletableFuture

/**
 * Returns a function that adds the operator endpoints to a server. Requests without the operators' key get status 401.
 *
 * @param current returns the current configuration
 * @param submit queues a patch and reports its result
 * @param enqueueStoreOperation queues a history read; false when the ring is full, which is answered with status 503
 */
internal fun operatorRoutes(
    authenticateOperator: (String?) -> Boolean,
    current: () -> Configuration,
    submit: (ConfigurationPatch, (SubmissionResult) -> Unit) -> Unit,
    enqueueStoreOperation: (StoreOperation) -> Boolean,
): (ServerBuilder) -> Unit =
    { server ->
        val operatorService = { service: (ServiceRequestContext, HttpRequest) -> HttpResponse ->
            HttpService { requestContext, request ->
                val authorized = authenticateOperator(request.headers().get("authorization"))
                if (authorized) service(requestContext, request) else unauthorized()
            }
        }
        server.route().get(CONFIGURATION_PATH).build(
            operatorService { _, _ -> json(HttpStatus.OK, Configuration.serializer(), current()) },
        )
        server.route().patch(CONFIGURATION_PATH).build(operatorService { _, request -> patch(request, submit) })
        server.route().get("$CONFIGURATION_PATH/history").build(
            operatorService { requestContext, _ -> history(requestContext.queryParam("after"), enqueueStoreOperation) },
        )
    }

private fun patch(
    request: HttpRequest,
    submit: (ConfigurationPatch, (SubmissionResult) -> Unit) -> Unit,
): HttpResponse = HttpResponse.of(request.aggregate().thenCompose { submitParsed(it, submit) })

private fun submitParsed(
    request: AggregatedHttpRequest,
    submit: (ConfigurationPatch, (SubmissionResult) -> Unit) -> Unit,
): CompletableFuture<HttpResponse> {
    val answer = CompletableFuture<HttpResponse>()
    val body = request.content().array()
    when (val patch = parseWireJson(body, ConfigurationPatch.serializer(), PATCH_STEP, "operator")) {
        is Outcome.Success -> submit(patch.value) { result -> answer.complete(patchResponse(result)) }
        is Outcome.Failure -> answer.complete(errorResponse(HttpStatus.BAD_REQUEST, patch.fault, "not_run"))
    }
    return answer
}

private fun history(
    after: String?,
    enqueueStoreOperation: (StoreOperation) -> Boolean,
): HttpResponse {
    val answer = CompletableFuture<HttpResponse>()
    val read = StoreOperation.History(after?.toLongOrNull() ?: 0) { outcome ->
        answer.complete(
            when (outcome) {
                is Outcome.Success -> {
                    json(HttpStatus.OK, ConfigurationHistory.serializer(), ConfigurationHistory(outcome.value))
                }

                is Outcome.Failure -> {
                    errorResponse(HttpStatus.SERVICE_UNAVAILABLE, outcome.fault, "not_run")
                }
            },
        )
    }
    if (!enqueueStoreOperation(read)) answer.complete(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE))
    return HttpResponse.of(answer)
}

private fun patchResponse(result: SubmissionResult): HttpResponse {
    val status = when (result) {
        is SubmissionResult.Accepted -> HttpStatus.OK
        is SubmissionResult.VersionConflict -> HttpStatus.CONFLICT
        is SubmissionResult.Invalid -> HttpStatus.UNPROCESSABLE_ENTITY
        is SubmissionResult.NotRun -> HttpStatus.SERVICE_UNAVAILABLE
        is SubmissionResult.Unconfirmed -> HttpStatus.GATEWAY_TIMEOUT
    }
    return json(status, PatchAnswer.serializer(), patchAnswer(result))
}

private fun patchAnswer(result: SubmissionResult): PatchAnswer =
    when (result) {
        is SubmissionResult.Accepted -> {
            PatchAnswer(true, result.version - 1, result.version, inForce = result.inForce)
        }

        is SubmissionResult.VersionConflict -> {
            val fault = "expected_version: expected ${result.currentVersion}, found ${result.expectedVersion}"
            PatchAnswer(false, result.expectedVersion, result.currentVersion, listOf(fault))
        }

        is SubmissionResult.Invalid -> {
            PatchAnswer(false, result.expectedVersion, result.currentVersion, result.faults)
        }

        is SubmissionResult.NotRun -> {
            PatchAnswer(false, currentVersion = result.currentVersion, faults = listOf("Not run. ${result.reason}"))
        }

        is SubmissionResult.Unconfirmed -> {
            PatchAnswer(false, result.version - 1, result.version, listOf("May have been committed. ${result.reason}"))
        }
    }

private fun unauthorized(): HttpResponse {
    val detail = ErrorDetail("Expected the operators' key as a bearer token.", "unauthorized", "not_run")
    return json(HttpStatus.UNAUTHORIZED, ErrorAnswer.serializer(), ErrorAnswer(detail))
}

private fun errorResponse(
    status: HttpStatus,
    fault: Fault,
    run: String,
): HttpResponse {
    val detail = ErrorDetail(fault.detail, fault.kind.name.lowercase(), run, fault.step, fault.peer)
    return json(status, ErrorAnswer.serializer(), ErrorAnswer(detail))
}

private fun <Message> json(
    status: HttpStatus,
    serializer: SerializationStrategy<Message>,
    message: Message,
): HttpResponse = HttpResponse.of(status, MediaType.JSON_UTF_8, wireJson.encodeToString(serializer, message))

private const val CONFIGURATION_PATH = "/operator/configuration"
private const val PATCH_STEP = "configuration patch"
