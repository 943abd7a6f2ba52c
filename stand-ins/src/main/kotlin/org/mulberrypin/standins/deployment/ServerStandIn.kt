/** A stand-in of a backend server on the platform: a plain service, or an engine that streams events. */
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
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** A request that a stand-in ran; [run] counts the requests of the stand-in from 0. */
public data class RanRequest(
    val id: String,
    val path: String,
    val team: String?,
    val hasKey: Boolean,
    val lastEvent: Long,
    val run: Int,
)

/**
 * A running stand-in.
 *
 * @property ran the requests that it ran, in their order
 * @property version version of the weights that it has
 * @property breakNext lets the next streams break off after their first event
 */
public data class ServerStandIn(
    val id: String,
    val address: String,
    val ran: ConcurrentLinkedQueue<RanRequest>,
    val version: AtomicLong,
    val breakNext: AtomicInteger,
    val stop: () -> Unit,
)

/**
 * How the streams of an engine go.
 *
 * @property events events of a whole stream
 * @property pauseMilliseconds time between two events
 * @property text data of an event of the numbered run, counted from 0 at this engine
 */
public data class StreamScript(
    val events: Long = EVENTS,
    val pauseMilliseconds: Long = 0,
    val text: (run: Int, event: Long) -> String = { _, event -> "part $event" },
)

/**
 * Starts a stand-in of [pool]; one with a [model] is an engine. It enters itself in the store's list, under the address
 * that [advertise] makes of its own.
 */
public fun startServerStandIn(
    store: StoreStandIn,
    id: String,
    pool: String,
    model: String? = null,
    script: StreamScript = StreamScript(),
    advertise: (address: String) -> String = { it },
): ServerStandIn {
    val behaviour = ServerBehaviour(id, model, script)
    val server = Server
        .builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .requestTimeoutMillis(0)
        .gracefulShutdownTimeoutMillis(0, 0)
        .serviceUnder("/") { context, request ->
            HttpResponse.of(request.aggregate().thenApply { behaviour.serve(it, context.rawPath()) })
        }.build()
    server.start().join()
    val address = "127.0.0.1:${server.activeLocalPort()}"
    val advertised = advertise(address)
    behaviour.onVersion = { store.write("servers", id, entryOf(advertised, pool, model, it)) }
    behaviour.onVersion(behaviour.version.get())
    return ServerStandIn(id, address, behaviour.ran, behaviour.version, behaviour.breakNext) {
        store.remove("servers", id)
        server.stop().join()
    }
}

private fun entryOf(
    address: String,
    pool: String,
    model: String?,
    version: Long,
): String =
    buildJsonObject {
        put("service", pool)
        put("address", address)
        put("zone", "zone-a")
        put("slots", SLOTS)
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

private class ServerBehaviour(
    private val id: String,
    private val model: String?,
    private val script: StreamScript,
) {
    val ran = ConcurrentLinkedQueue<RanRequest>()
    val version = AtomicLong(1)
    val breakNext = AtomicInteger()
    private val orders = AtomicLong()
    private val runs = AtomicInteger()
    var onVersion: (Long) -> Unit = {}

    fun serve(
        request: AggregatedHttpRequest,
        path: String,
    ): HttpResponse {
        val expected = request.headers().get("mulberrypin-expect-instance")
        return when {
            expected != null && expected != id -> HttpResponse.of(HttpStatus.MISDIRECTED_REQUEST)
            request.path() == "/mulberrypin/report" -> report()
            request.path() == "/mulberrypin/order" -> order(request.contentUtf8())
            else -> run(request, path)
        }
    }

    private fun report(): HttpResponse {
        val body = buildJsonObject {
            put("busy", false)
            put("sequence", orders.get())
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
        if (order["expectedRev"]?.jsonPrimitive?.long != orders.get()) return HttpResponse.of(HttpStatus.CONFLICT)
        orders.incrementAndGet()
        version.set(order.getValue("version").jsonPrimitive.long)
        onVersion(version.get())
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
        val run = runs.getAndIncrement()
        ran.add(RanRequest(requestId, path, headers.get("mulberrypin-tenant"), hasKey, lastEvent, run))
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
        val isBroken = breakNext.getAndUpdate { maxOf(0, it - 1) } > 0
        val response = HttpResponse.streaming()
        response.write(head)
        val last = if (isBroken) lastEvent + 1 else script.events
        play(response, run, lastEvent + 1..last) { if (isBroken) response.abort() else response.close() }
        return response
    }

    /** Writes events at the pace of the script; the end comes a little later, so that the event before it arrives. */
    private fun play(
        response: HttpResponseWriter,
        run: Int,
        events: LongRange,
        end: () -> Unit,
    ) {
        if (events.isEmpty() || !response.isOpen) return after(BREAK_MILLISECONDS, end)
        val event = events.first
        response.tryWrite(HttpData.ofUtf8("id: $event\ndata: ${script.text(run, event)}\n\n"))
        val rest = event + 1..events.last
        if (script.pauseMilliseconds == 0L) {
            play(response, run, rest, end)
        } else {
            after(script.pauseMilliseconds) { play(response, run, rest, end) }
        }
    }

    private fun after(
        milliseconds: Long,
        act: () -> Unit,
    ) = CompletableFuture.delayedExecutor(milliseconds, TimeUnit.MILLISECONDS).execute(act)
}

/** Events of a whole stream. */
public const val EVENTS: Long = 4
private const val SLOTS = 8
private const val BREAK_MILLISECONDS = 30L
