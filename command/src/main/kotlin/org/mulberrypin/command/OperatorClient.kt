/**
 * Client of the operator interface of an entry instance. It distinguishes a lost response from a rejection, because a
 * change whose response was lost may have been applied.
 */
package org.mulberrypin.command

import com.linecorp.armeria.client.BlockingWebClient
import com.linecorp.armeria.client.ClientFactory
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
import org.mulberrypin.platform.requireOrderlyEnds
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
 * The calls of the operator interface of an entry instance.
 *
 * @property configuration reads the current configuration
 * @property patch sends a configuration patch; a stale version or an invalid patch is a success with `accepted = false`
 * @property explain reads the explanations recorded for the subject of this kind and name
 * @property read reads any path of the operator interface as text
 */
internal data class OperatorClient(
    val configuration: () -> Outcome<Configuration>,
    val patch: (ConfigurationPatch) -> Outcome<PatchAnswer>,
    val explain: (subject: String, name: String) -> Outcome<ExplanationAnswer>,
    val read: (path: String) -> Outcome<String>,
)

/** Creates a client of the instance at [address], as host:port, that authenticates with the operator key [key]. */
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
            connection.read("explanations?subject=${urlEncoded(subject)}&name=${urlEncoded(name)}").then { body ->
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
        send(path.substringBefore('?'), headers(HttpMethod.GET, path).build(), body = "").then { response ->
            when (response.status()) {
                HttpStatus.OK -> Outcome.Success(response.contentUtf8())
                else -> statusFailure(path.substringBefore('?'), response)
            }
        }

    fun patch(patch: ConfigurationPatch): Outcome<PatchAnswer> {
        val headers = headers(HttpMethod.PATCH, "configuration").contentType(MediaType.JSON_UTF_8).build()
        val body = wireJson.encodeToString(ConfigurationPatch.serializer(), patch)
        return send(PATCH_STEP, headers, body).then { response -> parsePatchResponse(response) }
    }

    private fun parsePatchResponse(response: AggregatedHttpResponse): Outcome<PatchAnswer> =
        when (response.status()) {
            HttpStatus.OK, HttpStatus.CONFLICT, HttpStatus.UNPROCESSABLE_ENTITY -> {
                parseWireJson(response.contentUtf8(), PatchAnswer.serializer(), PATCH_STEP, address)
            }

            HttpStatus.SERVICE_UNAVAILABLE -> {
                Outcome.Failure(Fault(PATCH_STEP, address, FaultKind.NOT_RUN, response.contentUtf8()))
            }

            else -> {
                statusFailure(PATCH_STEP, response)
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

    private fun statusFailure(
        step: String,
        response: AggregatedHttpResponse,
    ): Outcome.Failure {
        val kind = if (response.status().isServerError) FaultKind.UNKNOWN else FaultKind.REFUSED
        return Outcome.Failure(Fault(step, address, kind, "${response.status()} ${response.contentUtf8()}".trim()))
    }
}

private fun blockingClient(address: String): BlockingWebClient =
    WebClient
        .builder("http://$address")
        .factory(ClientFactory.builder().requireOrderlyEnds().build())
        .responseTimeout(responseTimeout)
        .build()
        .blocking()

private fun urlEncoded(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

private const val PATCH_STEP = "configuration patch"
private val responseTimeout = Duration.ofSeconds(30)
