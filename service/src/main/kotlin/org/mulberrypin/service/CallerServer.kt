/** The HTTP server for callers, trainers, operators, load balancer health checks and metrics scraping. */
package org.mulberrypin.service

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.service.frontend.FrontEndDependencies
import org.mulberrypin.service.frontend.arrivalFactory
import org.mulberrypin.service.frontend.completionRoutes
import org.mulberrypin.service.frontend.plainServiceRoutes
import java.net.InetSocketAddress
import java.time.Duration

internal fun callerServer(
    context: EntryContext,
    parts: EntryParts,
    readiness: Readiness,
    scrapeMetrics: () -> String,
): Server {
    val frontEnd =
        FrontEndDependencies(
            requests = parts.requests,
            authenticate = parts.configuration.authenticate,
            configuration = parts.configuration.current,
            isConfigurationConfirmed = parts.configuration.isConfigurationConfirmed,
            attempts = parts.attempts,
            arrivals = arrivalFactory(context),
        )
    val instance = context.settings.instance
    val builder = Server.builder().http(InetSocketAddress(instance.host, instance.port))
    builder.requestTimeout(Duration.ZERO).maxRequestLength(MAX_REQUEST_BODY_BYTES)
    completionRoutes(frontEnd)(builder)
    plainServiceRoutes(frontEnd)(builder)
    parts.configuration.routes(builder)
    parts.rollouts.routes(builder)
    statusRoute(context, parts, readiness)(builder)
    parts.explanations.routes(builder, parts.configuration.authenticate, parts.configuration.authenticateOperator)
    parts.objectives.routes(builder, parts.configuration.authenticateOperator)
    healthRoutes(builder, readiness, parts.configuration.isConfigurationConfirmed, scrapeMetrics)
    return builder.build()
}

private fun healthRoutes(
    builder: ServerBuilder,
    readiness: Readiness,
    isConfigurationConfirmed: () -> Boolean,
    scrapeMetrics: () -> String,
) {
    builder.service("/health") { _, _ -> HttpResponse.of(HttpStatus.OK) }
    builder.service("/ready") { _, _ ->
        HttpResponse.of(
            if (readiness.get() && isConfigurationConfirmed()) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE,
        )
    }
    builder.service("/metrics") { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, scrapeMetrics()) }
}

/** Maximum size of a request body, in bytes. */
private const val MAX_REQUEST_BODY_BYTES = 16L * 1024 * 1024
