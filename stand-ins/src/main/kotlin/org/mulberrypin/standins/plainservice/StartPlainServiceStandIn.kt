/** Starts the plain service stand-in: an HTTP server and one duty that counts executions. */
package org.mulberrypin.standins.plainservice

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.schema.generated.ExecutionCount
import org.mulberrypin.schema.generated.ExecutionCounts
import org.mulberrypin.standins.StandInCall
import org.mulberrypin.standins.StandInDuty
import org.mulberrypin.standins.StandInWork
import org.mulberrypin.standins.faults.addFaultRoutes
import org.mulberrypin.standins.jsonReply
import org.mulberrypin.standins.openExchange
import org.mulberrypin.standins.received.ReceivedLog
import org.mulberrypin.standins.received.add
import org.mulberrypin.standins.received.addReceivedRoute
import org.mulberrypin.standins.received.find
import org.mulberrypin.standins.received.receivedRequest
import org.mulberrypin.standins.startStandInDuty
import org.mulberrypin.standins.startStandInServer
import java.util.concurrent.atomic.AtomicReference

/** Starts a plain service that counts the executions of each request. */
public fun startPlainServiceStandIn(
    options: PlainServiceStandInOptions = PlainServiceStandInOptions(),
    clock: ServiceClock = systemClock(),
): PlainServiceStandIn {
    val executions = AtomicReference(persistentMapOf<String, Int>())
    val received = AtomicReference(ReceivedLog())
    val duty = startPlainServiceDuty(options, clock, executions, received)
    val server = startStandInServer(options.port) { builder ->
        addServiceRoute(builder, options, duty.submit)
        addFaultRoutes(builder) { duty.faults }
        addReceivedRoute(builder, received::get)
        builder.route().get("/executions").build { _, _ ->
            jsonReply(ExecutionCounts.serializer(), ExecutionCounts(executions.get().map(::toCount)))
        }
    }
    return PlainServiceStandIn(
        address = server.address,
        faults = duty.faults,
        executions = executions::get,
        received = { text -> received.get().find(text) },
        stop = {
            server.stop()
            duty.stop()
        },
    )
}

private fun startPlainServiceDuty(
    options: PlainServiceStandInOptions,
    clock: ServiceClock,
    executions: AtomicReference<PersistentMap<String, Int>>,
    received: AtomicReference<ReceivedLog>,
): StandInDuty<PlainRequest> {
    val run: (StandInCall<PlainRequest>, Boolean) -> Unit = { call, loseAnswer ->
        executions.set(executions.get().countExecution(call.operation.identifier, options.identifierLimit))
        val respond = { call.exchange.respond(responseTo(call)) }
        when {
            loseAnswer -> call.exchange.disconnect()
            options.delayMilliseconds > 0 -> call.exchange.delay(options.delayMilliseconds, respond)
            else -> respond()
        }
    }
    val work = StandInWork(
        run = run,
        onReceived = { request -> received.set(received.get().add(request, options.receivedLimit)) },
    )
    return startStandInDuty("plain-service-stand-in", clock, IDLE_TICK_MILLISECONDS, work)
}

private fun addServiceRoute(
    builder: ServerBuilder,
    options: PlainServiceStandInOptions,
    submit: (StandInCall<PlainRequest>) -> Unit,
) {
    builder.serviceUnder("/") { context, request ->
        openExchange(context) { exchange ->
            request.aggregate().thenAccept { body ->
                val identifier = body.headers().get(options.identifierHeader) ?: body.contentUtf8()
                val name = "${body.method()} ${body.path()}"
                submit(StandInCall(name, PlainRequest(identifier), exchange, receivedRequest(body)))
            }
        }
    }
}

private fun responseTo(call: StandInCall<PlainRequest>): HttpResponse =
    HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, "${call.name} ${call.operation.identifier}")

private fun toCount(execution: Map.Entry<String, Int>): ExecutionCount =
    ExecutionCount(id = execution.key, executions = execution.value)

private const val IDLE_TICK_MILLISECONDS = 1_000L
