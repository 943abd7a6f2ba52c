/**
 * The HTTP interface to explanations: GET /operator/explanations for operators and GET /v1/explanations for callers,
 * each with the parameters subject and name. 401 without a key in force, 400 without a subject, 503 when too many
 * questions wait. A caller is answered from the records of the caller's own team.
 */
package org.mulberrypin.service.explanations

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import org.mulberrypin.decisions.explanations.Asker
import org.mulberrypin.decisions.explanations.ExplanationQuery
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.service.operators.faultResponse
import org.mulberrypin.service.operators.outcomeResponse
import org.mulberrypin.service.operators.unauthorizedResponse
import java.util.concurrent.CompletableFuture

/** Adds a route that answers the askers whom [askerOf] finds by the Authorization header. */
internal fun addExplanationRoute(
    server: ServerBuilder,
    path: String,
    askerOf: (authorizationHeader: String?) -> Asker?,
    submit: (ExplanationWork.Question) -> Unit,
) {
    server.route().get(path).build { requestContext, request ->
        when (val asker = askerOf(request.headers().get(HttpHeaderNames.AUTHORIZATION))) {
            null -> unauthorizedResponse(STEP)
            else -> answer(requestContext, asker, submit)
        }
    }
}

private fun answer(
    requestContext: ServiceRequestContext,
    asker: Asker,
    submit: (ExplanationWork.Question) -> Unit,
): HttpResponse {
    val subject = requestContext.queryParam("subject").orEmpty()
    if (subject.isEmpty()) {
        val fault = Fault(STEP, "caller", FaultKind.REFUSED, "Expected the parameter subject, found none.")
        return faultResponse(HttpStatus.BAD_REQUEST, fault)
    }
    val query = ExplanationQuery(subject, requestContext.queryParam("name").orEmpty(), asker)
    val response = CompletableFuture<HttpResponse>()
    submit(
        ExplanationWork.Question(query, everywhere = true) { outcome ->
            response.complete(outcomeResponse(outcome, ExplanationAnswer.serializer()))
        },
    )
    return HttpResponse.of(response)
}

private const val STEP = "explain"
