/** A stand-in for a backend server on the platform: a plain service, or an engine that streams events. */
package org.mulberrypin.standins.deployment

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** A request that a stand-in executed; [run] is its index among the requests of the stand-in, from 0. */
public data class ExecutedRequest(
    val id: String,
    val path: String,
    val team: String?,
    val hasKey: Boolean,
    val lastEvent: Long,
    val run: Int,
)

/**
 * A running backend server stand-in.
 *
 * @property executedRequests the executed requests, in order
 * @property version current weight version
 * @property breakNext number of subsequent streams that are aborted after their first event
 * @property isSilent while true, requests are executed and not responded to
 * @property isLeaving while true, all responses say that the server is leaving
 * @property stop removes the server from the store and closes its port
 */
public data class ServerStandIn(
    val id: String,
    val address: String,
    val executedRequests: ConcurrentLinkedQueue<ExecutedRequest>,
    val version: AtomicLong,
    val breakNext: AtomicInteger,
    val isSilent: AtomicBoolean,
    val isLeaving: AtomicBoolean,
    val stop: () -> Unit,
)

/**
 * The events of the streams of an engine.
 *
 * @property events number of events of a complete stream
 * @property pauseMilliseconds time between two events
 * @property text data of an event, given the index of the request at this engine, from 0, and the event number, from 1
 */
public data class StreamScript(
    val events: Long = EVENTS,
    val pauseMilliseconds: Long = 0,
    val text: (run: Int, event: Long) -> String = { _, event -> "part $event" },
)

/**
 * Starts a stand-in in [pool]; with a [model] it is an engine. It registers itself in the store with the address that
 * [advertisedAddress] derives from its own.
 */
public fun startServerStandIn(
    store: StoreStandIn,
    id: String,
    pool: String,
    model: String? = null,
    script: StreamScript = StreamScript(),
    advertisedAddress: (address: String) -> String = { it },
): ServerStandIn {
    val handler = ServerHandler(id, model, script)
    val server = Server
        .builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .requestTimeoutMillis(0)
        .gracefulShutdownTimeoutMillis(0, 0)
        .serviceUnder("/") { context, request ->
            HttpResponse.of(request.aggregate().thenApply { handler.serve(it, context.rawPath()) })
        }.build()
    server.start().join()
    val address = "127.0.0.1:${server.activeLocalPort()}"
    val entryAddress = advertisedAddress(address)
    handler.registerVersion = { store.write("servers", id, serverEntry(entryAddress, pool, model, it)) }
    handler.registerVersion(handler.version.get())
    return ServerStandIn(
        id,
        address,
        handler.executions,
        handler.version,
        handler.breakNext,
        handler.isSilent,
        handler.isLeaving,
    ) {
        store.remove("servers", id)
        server.stop().join()
    }
}

private fun serverEntry(
    address: String,
    pool: String,
    model: String?,
    version: Long,
): String =
    buildJsonObject {
        put("service", pool)
        put("address", address)
        put("zone", "zone-a")
        put("slots", SERVER_SLOTS)
        put("state", "ready")
        put("born", 1)
        putJsonArray("models") {
            if (model != null) {
                addJsonObject {
                    put("name", model)
                    put("version", version)
                    putJsonArray("adapters") { add("none") }
                }
            }
        }
    }.toString()

private class ServerHandler(
    private val id: String,
    private val model: String?,
    private val script: StreamScript,
) {
    val executions = ConcurrentLinkedQueue<ExecutedRequest>()
    val version = AtomicLong(1)
    val breakNext = AtomicInteger()
    val isSilent = AtomicBoolean()
    val isLeaving = AtomicBoolean()
    private val orderCount = AtomicLong()
    private val executedRequests = AtomicInteger()
    var registerVersion: (Long) -> Unit = {}

    fun serve(
        request: AggregatedHttpRequest,
        path: String,
    ): HttpResponse {
        val response = respond(request, path)
        if (!isLeaving.get()) return response
        return response.mapHeaders { it.toBuilder().set("server-leaving", "1").build() }
    }

    private fun respond(
        request: AggregatedHttpRequest,
        path: String,
    ): HttpResponse {
        val expected = request.headers().get("mulberrypin-expect-instance")
        return when {
            expected != null && expected != id -> HttpResponse.of(HttpStatus.MISDIRECTED_REQUEST).naming(request)
            request.path() == "/mulberrypin/report" -> report().naming(request)
            request.path() == "/mulberrypin/order" -> order(request.contentUtf8()).naming(request)
            else -> run(request, path)
        }
    }

    /** Repeats the identifier of [request]. */
    private fun HttpResponse.naming(request: AggregatedHttpRequest): HttpResponse {
        val requestId = request.headers().get("mulberrypin-request-id") ?: return this
        return mapHeaders { it.toBuilder().set("mulberrypin-request-id", requestId).build() }
    }

    private fun report(): HttpResponse {
        val body = buildJsonObject {
            put("busy", false)
            put("sequence", orderCount.get())
            putJsonArray("models") {
                addJsonObject {
                    put("name", model)
                    put("version", version.get())
                }
            }
        }
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.toString())
    }

    private fun order(text: String): HttpResponse {
        val order = Json.parseToJsonElement(text).jsonObject
        if (order["expectedRev"]?.jsonPrimitive?.long != orderCount.get()) return HttpResponse.of(HttpStatus.CONFLICT)
        orderCount.incrementAndGet()
        version.set(order.getValue("version").jsonPrimitive.long)
        registerVersion(version.get())
        return HttpResponse.of(HttpStatus.ACCEPTED)
    }

    private fun run(
        request: AggregatedHttpRequest,
        path: String,
    ): HttpResponse {
        val headers = request.headers()
        val requestId = headers.get("mulberrypin-request-id").orEmpty()
        val lastEvent = headers.getLong("last-event-id", 0)
        val hasKey = headers.contains("authorization")
        val run = executedRequests.getAndIncrement()
        executions.add(ExecutedRequest(requestId, path, headers.get("mulberrypin-tenant"), hasKey, lastEvent, run))
        if (isSilent.get()) return HttpResponse.streaming()
        val head = ResponseHeaders
            .builder(HttpStatus.OK)
            .set("mulberrypin-request-id", requestId)
            .set("mulberrypin-response-seal", "signature-$requestId")
        if (model == null) return HttpResponse.of(head.build(), HttpData.ofUtf8("answer to $requestId"))
        head.set("mulberrypin-weight-versions", version.get().toString()).contentType(MediaType.EVENT_STREAM)
        return stream(head.build(), run, lastEvent)
    }

    private fun stream(
        head: ResponseHeaders,
        run: Int,
        lastEvent: Long,
    ): HttpResponse {
        val isAborted = breakNext.getAndUpdate { maxOf(0, it - 1) } > 0
        val response = HttpResponse.streaming()
        response.write(head)
        val last = if (isAborted) lastEvent + 1 else script.events
        writeEvents(response, run, lastEvent + 1..last) { if (isAborted) response.abort() else response.close() }
        return response
    }

    /** Writes [events] at the pace of the script, then calls [end] after a delay, so that it follows the last event. */
    private fun writeEvents(
        response: HttpResponseWriter,
        run: Int,
        events: LongRange,
        end: () -> Unit,
    ) {
        if (events.isEmpty() || !response.isOpen) return schedule(STREAM_END_DELAY_MILLISECONDS, end)
        val event = events.first
        response.tryWrite(HttpData.ofUtf8("id: $event\ndata: ${script.text(run, event)}\n\n"))
        val rest = event + 1..events.last
        if (script.pauseMilliseconds == 0L) {
            writeEvents(response, run, rest, end)
        } else {
            schedule(script.pauseMilliseconds) { writeEvents(response, run, rest, end) }
        }
    }

    private fun schedule(
        milliseconds: Long,
        action: () -> Unit,
    ) = CompletableFuture.delayedExecutor(milliseconds, TimeUnit.MILLISECONDS).execute(action)
}

/** Default number of events of a complete stream. */
public const val EVENTS: Long = 4
private const val SERVER_SLOTS = 8
private const val STREAM_END_DELAY_MILLISECONDS = 30L
