/**
 * Ties each response of a backend server to the request that it answers. A server may send a response twice, and the
 * late copy arrives where the response to the next request on the connection is expected. Each request therefore
 * carries an identifier of its own, which its response repeats.
 */
package org.mulberrypin.service.requests

import com.linecorp.armeria.client.ClientRequestContext
import com.linecorp.armeria.client.DecoratingHttpClientFunction
import com.linecorp.armeria.client.HttpClient
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.logging.RequestLogProperty
import java.util.UUID
import java.util.concurrent.atomic.AtomicLong

/** Returns a decorator that gives each request an identifier and fails responses that do not repeat it. */
internal fun attemptIdentifiers(): DecoratingHttpClientFunction {
    val client = UUID.randomUUID()
    val attempts = AtomicLong()
    return DecoratingHttpClientFunction { delegate, context, request ->
        executeIdentified(delegate, context, request, "$client-${attempts.incrementAndGet()}")
    }
}

private fun executeIdentified(
    delegate: HttpClient,
    context: ClientRequestContext,
    request: HttpRequest,
    identifier: String,
): HttpResponse {
    val identified = request.withHeaders(request.headers().toBuilder().set(ATTEMPT_ID_HEADER, identifier))
    context.updateRequest(identified)
    return delegate.execute(context, identified).mapHeaders { headers ->
        if (headers.get(ATTEMPT_ID_HEADER) != identifier) {
            closeConnection(context)
            throw ForeignResponseException()
        }
        withoutIdentifier(headers)
    }
}

/** Closes the connection, since further responses on it could not be matched to requests. */
private fun closeConnection(context: ClientRequestContext) {
    context
        .log()
        .getIfAvailable(RequestLogProperty.SESSION)
        ?.channel()
        ?.close()
}

private fun withoutIdentifier(headers: ResponseHeaders): ResponseHeaders =
    headers.toBuilder().apply { remove(ATTEMPT_ID_HEADER) }.build()

private const val ATTEMPT_ID_HEADER = "x-attempt-id"
