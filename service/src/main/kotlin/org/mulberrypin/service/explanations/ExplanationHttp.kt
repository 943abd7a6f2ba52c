/**
 * HTTP endpoints for explanations: GET /operator/explanations for operators and GET /v1/explanations for callers, both
 * with the parameters subject and name. Status 401: missing or unknown key. 400: no subject. 503: too many queries are
 * pending. A caller gets only the records of its own team.
 */
package org.mulberrypin.service.explanations

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import org.mulberrypin.decisions.explanations.ExplanationQuery
import org.mulberrypin.decisions.explanations.QueryAuthor
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.service.operators.faultResponse
import org.mulberrypin.service.operators.outcomeResponse
import org.mulberrypin.service.operators.unauthorizedResponse
import java.util.concurrent.CompletableFuture

/** Adds a route for requesters that [authenticate] accepts; it returns null for an invalid Authorization header. */
internal fun addExplanationRoute(
    server: ServerBuilder,
    path: String,
    authenticate: (authorizationHeader: String?) -> QueryAuthor?,
    submit: (ExplanationInput.Query) -> Unit,
) {
    server.route().get(path).build { requestContext, request ->
        when (val author = authenticate(request.headers().get(HttpHeaderNames.AUTHORIZATION))) {
            null -> unauthorizedResponse(STEP)
            else -> answer(requestContext, author, submit)
        }
    }
}

private fun answer(
    requestContext: ServiceRequestContext,
    author: QueryAuthor,
    submit: (ExplanationInput.Query) -> Unit,
): HttpResponse {
    val subject = requestContext.queryParam("subject").orEmpty()
    if (subject.isEmpty()) {
        val fault = Fault(STEP, "caller", FaultKind.REFUSED, "Expected the query parameter subject, found none.")
        return faultResponse(HttpStatus.BAD_REQUEST, fault)
    }
    val query = ExplanationQuery(subject, requestContext.queryParam("name").orEmpty(), author)
    val response = CompletableFuture<HttpResponse>()
    submit(
        ExplanationInput.Query(query, includePeers = true) { outcome ->
            response.complete(outcomeResponse(outcome, ExplanationAnswer.serializer()))
        },
    )
    return HttpResponse.of(response)
}

private const val STEP = "explain"
