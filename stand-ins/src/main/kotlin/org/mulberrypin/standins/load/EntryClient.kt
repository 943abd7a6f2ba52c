/** A blocking HTTP client of one entry instance, used by caller and trainer threads. */
package org.mulberrypin.standins.load

import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.util.Exceptions
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.ErrorAnswer
import java.io.BufferedReader

/**
 * Response of an entry instance.
 *
 * @property status HTTP status
 * @property body response body, or the body of the error
 */
internal data class EntryResponse(
    val status: HttpStatus,
    val body: String,
)

/**
 * @property key API key to send; empty for none
 * @param timeoutMilliseconds response timeout of each request
 */
internal class EntryClient(
    private val address: String,
    private val key: String,
    timeoutMilliseconds: Long,
) {
    private val client = WebClient
        .builder("h1c://$address")
        .responseTimeoutMillis(timeoutMilliseconds)
        .maxResponseLength(0)
        .build()

    /** Posts [body] and waits for the response. If there is none, passes the reason to [onFailure] and returns null. */
    fun post(
        path: String,
        body: String,
        headers: Map<String, String>,
        onFailure: (AttemptResult) -> Unit,
    ): EntryResponse? =
        try {
            val response = send(path, body, headers).aggregate().join()
            EntryResponse(response.status(), response.contentUtf8())
        } catch (failure: Exception) {
            onFailure(attemptResult(failure))
            null
        }

    /** Posts [body] and passes its status and body to [readResponse] as it arrives. */
    fun stream(
        path: String,
        body: String,
        headers: Map<String, String>,
        readResponse: (HttpStatus, BufferedReader) -> AttemptResult,
    ): AttemptResult =
        try {
            val response = send(path, body, headers).split()
            val status = response.headers().join().status()
            response
                .body()
                .toInputStream { it }
                .bufferedReader()
                .use { readResponse(status, it) }
        } catch (failure: Exception) {
            attemptResult(failure)
        }

    private fun send(
        path: String,
        body: String,
        headers: Map<String, String>,
    ): HttpResponse {
        val builder = RequestHeaders.builder(HttpMethod.POST, path).contentType(MediaType.JSON_UTF_8)
        if (key.isNotEmpty()) builder.add(HttpHeaderNames.AUTHORIZATION, "Bearer $key")
        headers.forEach { (name, value) -> builder.add(name, value) }
        return client.execute(HttpRequest.of(builder.build(), HttpData.ofUtf8(body)))
    }
}

/** Parses an error response; one that cannot be parsed has the type "unreadable". */
internal fun parseRefusal(body: String): AttemptResult.Refused =
    when (val error = parseWireJson(body, ErrorAnswer.serializer(), "error answer", "entry instance")) {
        is Outcome.Success -> AttemptResult.Refused(error.value.error.run, error.value.error.type)
        is Outcome.Failure -> AttemptResult.Refused(executionStatus = "", type = "unreadable")
    }

private fun attemptResult(failure: Exception): AttemptResult {
    val causes = generateSequence<Throwable>(Exceptions.peel(failure)) { it.cause }
    return if (causes.any { it is UnprocessedRequestException }) AttemptResult.NotSent else AttemptResult.NoResponse
}
