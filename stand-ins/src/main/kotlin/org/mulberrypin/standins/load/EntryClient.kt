/** A blocking HTTP client of one entry instance, for the threads of callers and trainers. */
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
 * What an entry instance sent back.
 *
 * @property status status of the response
 * @property body body of the response, also of an error
 */
internal data class EntryResponse(
    val status: HttpStatus,
    val body: String,
)

/**
 * @property key key to present; empty for none
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

    /** Sends a body and waits for the whole response, or answers null as [failed] says. */
    fun post(
        path: String,
        body: String,
        headers: Map<String, String>,
        failed: (AttemptResult) -> Unit,
    ): EntryResponse? =
        try {
            val response = send(path, body, headers).aggregate().join()
            EntryResponse(response.status(), response.contentUtf8())
        } catch (failure: Exception) {
            failed(attemptFailure(failure))
            null
        }

    /** Sends a body and hands the status and the lines of the response to [read] as they arrive. */
    fun stream(
        path: String,
        body: String,
        headers: Map<String, String>,
        read: (HttpStatus, BufferedReader) -> AttemptResult,
    ): AttemptResult =
        try {
            val response = send(path, body, headers).split()
            val status = response.headers().join().status()
            response
                .body()
                .toInputStream { it }
                .bufferedReader()
                .use { read(status, it) }
        } catch (failure: Exception) {
            attemptFailure(failure)
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

/** What an error body says about the request. */
internal fun refusal(body: String): AttemptResult.Refused =
    when (val error = parseWireJson(body, ErrorAnswer.serializer(), "error answer", "entry instance")) {
        is Outcome.Success -> AttemptResult.Refused(error.value.error.run, error.value.error.type)
        is Outcome.Failure -> AttemptResult.Refused(run = "", type = "unreadable")
    }

private fun attemptFailure(failure: Exception): AttemptResult {
    val causes = generateSequence<Throwable>(Exceptions.peel(failure)) { it.cause }
    return if (causes.any { it is UnprocessedRequestException }) AttemptResult.NotSent else AttemptResult.Cut
}
