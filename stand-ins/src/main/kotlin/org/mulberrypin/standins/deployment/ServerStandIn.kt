/** A stand-in of a backend server on the platform: a plain service, or an engine that streams events. */
package org.mulberrypin.standins.deployment

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
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

/** A request that a stand-in ran. */
public data class RanRequest(
    val id: String,
    val path: String,
    val team: String?,
    val hasKey: Boolean,
    val lastEvent: Long,
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

/** Starts a stand-in of [pool]; one with a [model] is an engine. It enters itself in the store's list. */
public fun startServerStandIn(
    store: StoreStandIn,
    id: String,
    pool: String,
    model: String? = null,
): ServerStandIn {
    val behaviour = ServerBehaviour(id, model)
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
    behaviour.onVersion = { store.write("servers", id, entryOf(address, pool, model, it)) }
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
) {
    val ran = ConcurrentLinkedQueue<RanRequest>()
    val version = AtomicLong(1)
    val breakNext = AtomicInteger()
    private val orders = AtomicLong()
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
        ran.add(RanRequest(requestId, path, headers.get("mulberrypin-tenant"), hasKey, lastEvent))
        val head = ResponseHeaders
            .builder(HttpStatus.OK)
            .set("mulberrypin-request-id", requestId)
            .set("mulberrypin-response-seal", "signature-$requestId")
        if (model == null) return HttpResponse.of(head.build(), HttpData.ofUtf8("answer to $requestId"))
        head.set("mulberrypin-weight-versions", version.get().toString()).contentType(MediaType.EVENT_STREAM)
        return stream(head.build(), lastEvent)
    }

    private fun stream(
        head: ResponseHeaders,
        lastEvent: Long,
    ): HttpResponse {
        val isBroken = breakNext.getAndUpdate { maxOf(0, it - 1) } > 0
        val response = HttpResponse.streaming()
        response.write(head)
        val last = if (isBroken) lastEvent + 1 else EVENTS
        for (event in lastEvent + 1..last) response.write(HttpData.ofUtf8("id: $event\ndata: part $event\n\n"))
        // The break comes a little later, so that the event before it arrives.
        CompletableFuture.delayedExecutor(BREAK_MILLISECONDS, TimeUnit.MILLISECONDS).execute {
            if (isBroken) response.abort() else response.close()
        }
        return response
    }
}

/** Events of a whole stream. */
public const val EVENTS: Long = 4
private const val SLOTS = 8
private const val BREAK_MILLISECONDS = 30L
