/** The HTTP routes of the platform stand-in: they parse requests into operations and encode responses. */
package org.mulberrypin.standins.platform

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.DeserializationStrategy
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.BackendServerOrderAnswer
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.InstanceListAnswer
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCommitAnswer
import org.mulberrypin.schema.generated.TableReadRequest
import org.mulberrypin.schema.generated.TableScanAnswer
import org.mulberrypin.schema.generated.UsageAnswer
import org.mulberrypin.schema.generated.UsageWindow
import org.mulberrypin.standins.StandInCall
import org.mulberrypin.standins.jsonReply
import org.mulberrypin.standins.openExchange
import org.mulberrypin.standins.received.receivedRequest

/** Parses an HTTP request into an operation. */
private typealias OperationParser = (ServiceRequestContext, AggregatedHttpRequest) -> Outcome<PlatformOperation>

/** Adds the routes of all services of the platform; [submit] receives each call. */
internal fun addPlatformRoutes(
    builder: ServerBuilder,
    submit: (StandInCall<PlatformOperation>) -> Unit,
) {
    val routes = PlatformRoutes(builder, submit)
    addTableRoutes(routes)
    addObjectRoutes(routes)
    addOrderRoutes(routes)
    addInstanceRoutes(routes)
}

private class PlatformRoutes(
    private val builder: ServerBuilder,
    private val submit: (StandInCall<PlatformOperation>) -> Unit,
) {
    fun add(
        method: HttpMethod,
        path: String,
        name: String,
        parse: OperationParser,
    ) {
        builder.route().path(path).methods(method).build { context, request ->
            openExchange(context) { exchange ->
                request.aggregate().thenAccept { body ->
                    when (val operation = parse(context, body)) {
                        is Outcome.Success -> submit(
                            StandInCall(name, operation.value, exchange, receivedRequest(body)),
                        )

                        is Outcome.Failure -> exchange.respond(badRequest(operation.fault.detail))
                    }
                }
            }
        }
    }
}

private fun addTableRoutes(routes: PlatformRoutes) {
    routes.add(HttpMethod.POST, "/tables/commit", "table commit") { _, body ->
        body.parseBody(TableCommit.serializer()).map(PlatformOperation::CommitRows)
    }
    routes.add(HttpMethod.POST, "/tables/read", "table read") { _, body ->
        body.parseBody(TableReadRequest.serializer()).map { PlatformOperation.ReadRows(it.keys) }
    }
    routes.add(HttpMethod.GET, "/tables/scan", "table scan") { context, _ ->
        Outcome.Success(PlatformOperation.ScanRows(context.queryParam("prefix").orEmpty()))
    }
}

private fun addObjectRoutes(routes: PlatformRoutes) {
    routes.add(HttpMethod.PUT, OBJECT_PATH, "object put") { context, body ->
        Outcome.Success(PlatformOperation.PutObject(context.nameParameter(), body.contentUtf8()))
    }
    routes.add(HttpMethod.GET, OBJECT_PATH, "object get") { context, _ ->
        Outcome.Success(PlatformOperation.GetObject(context.nameParameter()))
    }
}

private fun addOrderRoutes(routes: PlatformRoutes) {
    routes.add(HttpMethod.POST, "/orders", "order send") { _, body ->
        body.parseBody(BackendServerOrder.serializer()).map(PlatformOperation::SendOrder)
    }
    routes.add(HttpMethod.GET, "/orders/{name}", "order find") { context, _ ->
        Outcome.Success(PlatformOperation.FindOrder(context.nameParameter()))
    }
    routes.add(HttpMethod.POST, "/usage", "usage send") { _, body ->
        body.parseBody(UsageWindow.serializer()).map(PlatformOperation::SendUsage)
    }
}

private fun addInstanceRoutes(routes: PlatformRoutes) {
    routes.add(HttpMethod.GET, "/instances", "instance list") { _, _ ->
        Outcome.Success(PlatformOperation.ListInstances)
    }
    routes.add(HttpMethod.POST, "/instances", "instance register") { _, body ->
        body.parseBody(InstanceEntry.serializer()).map(PlatformOperation::RegisterInstance)
    }
    routes.add(HttpMethod.DELETE, "/instances/{name}", "instance remove") { context, _ ->
        Outcome.Success(PlatformOperation.RemoveInstance(context.nameParameter()))
    }
}

/** Encodes [answer] as an HTTP response. */
internal fun encodePlatformAnswer(answer: PlatformAnswer): HttpResponse =
    when (answer) {
        is PlatformAnswer.Commit -> {
            jsonReply(TableCommitAnswer.serializer(), answer.answer)
        }

        is PlatformAnswer.Rows -> {
            jsonReply(TableScanAnswer.serializer(), TableScanAnswer(answer.rows))
        }

        is PlatformAnswer.Content -> {
            HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, answer.content)
        }

        is PlatformAnswer.Order -> {
            jsonReply(BackendServerOrderAnswer.serializer(), answer.answer)
        }

        is PlatformAnswer.Usage -> {
            jsonReply(UsageAnswer.serializer(), answer.answer)
        }

        is PlatformAnswer.Instances -> {
            jsonReply(InstanceListAnswer.serializer(), InstanceListAnswer(answer.instances))
        }

        PlatformAnswer.Done -> {
            HttpResponse.of(HttpStatus.NO_CONTENT)
        }

        PlatformAnswer.Missing -> {
            HttpResponse.of(HttpStatus.NOT_FOUND)
        }
    }

private fun <Message> AggregatedHttpRequest.parseBody(serializer: DeserializationStrategy<Message>): Outcome<Message> =
    parseWireJson(contentUtf8(), serializer, path(), "client")

private fun ServiceRequestContext.nameParameter(): String = pathParam("name").orEmpty()

private fun badRequest(detail: String): HttpResponse =
    HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, detail)

private const val OBJECT_PATH = "/objects/{*name}"
