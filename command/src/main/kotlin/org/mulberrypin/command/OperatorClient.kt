/**
 * Calls the operator interface of an entry instance. A lost answer is told apart from a refusal, because a change
 * whose answer was lost may be in force.
 */
package org.mulberrypin.command

import com.linecorp.armeria.client.BlockingWebClient
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.then
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.schema.generated.PatchAnswer
import java.net.URLEncoder
import java.time.Duration

/**
 * What operators ask of an entry instance.
 *
 * @property patch asks for a change; a stale version is an answer, not a failure
 * @property read reads any path of the operator interface as text
 */
internal data class OperatorClient(
    val configuration: () -> Outcome<Configuration>,
    val patch: (ConfigurationPatch) -> Outcome<PatchAnswer>,
    val explain: (subject: String, name: String) -> Outcome<ExplanationAnswer>,
    val read: (path: String) -> Outcome<String>,
)

/** Creates a client of the instance at [address], an address as host:port, that presents [key]. */
internal fun operatorClient(
    address: String,
    key: String,
): OperatorClient {
    val connection = OperatorConnection(address, key, blockingClient(address))
    return OperatorClient(
        configuration = {
            connection.read("configuration").then { body ->
                parseWireJson(body, Configuration.serializer(), "configuration", address)
            }
        },
        patch = connection::patch,
        explain = { subject, name ->
            connection.read("explanations?subject=${encoded(subject)}&name=${encoded(name)}").then { body ->
                parseWireJson(body, ExplanationAnswer.serializer(), "explanations", address)
            }
        },
        read = connection::read,
    )
}

private class OperatorConnection(
    private val address: String,
    private val key: String,
    private val client: BlockingWebClient,
) {
    fun read(path: String): Outcome<String> =
        send(path.substringBefore('?'), headers(HttpMethod.GET, path).build(), body = "").then { answer ->
            when (answer.status()) {
                HttpStatus.OK -> Outcome.Success(answer.contentUtf8())
                else -> refused(path.substringBefore('?'), answer)
            }
        }

    fun patch(patch: ConfigurationPatch): Outcome<PatchAnswer> {
        val headers = headers(HttpMethod.PATCH, "configuration").contentType(MediaType.JSON_UTF_8).build()
        val body = wireJson.encodeToString(ConfigurationPatch.serializer(), patch)
        return send(PATCH_STEP, headers, body).then { answer -> patchOutcome(answer) }
    }

    private fun patchOutcome(answer: AggregatedHttpResponse): Outcome<PatchAnswer> =
        when (answer.status()) {
            HttpStatus.OK, HttpStatus.CONFLICT, HttpStatus.UNPROCESSABLE_ENTITY -> {
                parseWireJson(answer.contentUtf8(), PatchAnswer.serializer(), PATCH_STEP, address)
            }

            HttpStatus.SERVICE_UNAVAILABLE -> {
                Outcome.Failure(Fault(PATCH_STEP, address, FaultKind.NOT_RUN, answer.contentUtf8()))
            }

            else -> {
                refused(PATCH_STEP, answer)
            }
        }

    private fun headers(
        method: HttpMethod,
        path: String,
    ) = RequestHeaders.builder(method, "/operator/$path").set(HttpHeaderNames.AUTHORIZATION, "Bearer $key")

    private fun send(
        step: String,
        headers: RequestHeaders,
        body: String,
    ): Outcome<AggregatedHttpResponse> =
        try {
            Outcome.Success(client.execute(HttpRequest.of(headers, HttpData.ofUtf8(body))))
        } catch (failure: UnprocessedRequestException) {
            Outcome.Failure(Fault(step, address, FaultKind.NOT_RUN, failure.cause.message ?: failure.toString()))
        } catch (failure: RuntimeException) {
            Outcome.Failure(Fault(step, address, FaultKind.UNKNOWN, failure.message ?: failure.toString()))
        }

    private fun refused(
        step: String,
        answer: AggregatedHttpResponse,
    ): Outcome.Failure {
        val kind = if (answer.status().isServerError) FaultKind.UNKNOWN else FaultKind.REFUSED
        return Outcome.Failure(Fault(step, address, kind, "${answer.status()} ${answer.contentUtf8()}".trim()))
    }
}

private fun blockingClient(address: String): BlockingWebClient =
    WebClient
        .builder("http://$address")
        .responseTimeout(answerTimeout)
        .build()
        .blocking()

private fun encoded(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

private const val PATCH_STEP = "configuration patch"
private val answerTimeout = Duration.ofSeconds(30)
