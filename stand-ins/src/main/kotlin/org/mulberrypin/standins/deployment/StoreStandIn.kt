/** A stand-in of the platform's store over HTTP, with faults that tests switch on. */
package org.mulberrypin.standins.deployment

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.QueryParams
import com.linecorp.armeria.server.Server
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import org.mulberrypin.runtime.systemClock
import java.net.InetSocketAddress
import java.util.Base64
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

/** What goes wrong with a call. */
public enum class StoreFault {
    /** Nothing. */
    NONE,

    /** The call is refused and nothing is done. */
    REFUSED,

    /** The call is carried out and not answered. */
    ANSWER_LOST,
}

/**
 * A running stand-in.
 *
 * @property address host and port
 * @property write writes a row as an operator or a backend server does
 * @property remove removes such a row
 * @property table reads all rows
 * @property failWith decides what goes wrong with a call from now on, by its path
 * @property forgetHistory drops the history of all changes
 */
public data class StoreStandIn(
    val address: String,
    val write: (table: String, key: String, value: String) -> Unit,
    val remove: (table: String, key: String) -> Unit,
    val table: () -> RowTable,
    val failWith: ((path: String) -> StoreFault) -> Unit,
    val forgetHistory: () -> Unit,
    val stop: () -> Unit,
)

/** Starts a stand-in on a free port of the loopback interface. */
public fun startStoreStandIn(): StoreStandIn {
    val keeper = StoreKeeper()
    val server = Server
        .builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .requestTimeoutMillis(0)
        .gracefulShutdownTimeoutMillis(0, 0)
        .serviceUnder("/") { _, request -> HttpResponse.of(request.aggregate().thenApply(keeper::serve)) }
        .build()
    server.start().join()
    return StoreStandIn(
        address = "127.0.0.1:${server.activeLocalPort()}",
        write = { table, key, value ->
            val encoded = Base64.getEncoder().encodeToString(value.toByteArray())
            keeper.change(RowChange(writes = mapOf(RowName(table, "", key) to encoded)))
        },
        remove = { table, key -> keeper.change(RowChange(removals = setOf(RowName(table, "", key)))) },
        table = keeper::table,
        failWith = keeper::failWith,
        forgetHistory = keeper::forgetHistory,
        stop = { server.stop().join() },
    )
}

private class StoreKeeper {
    private val state = AtomicReference(RowTable())
    private val clock = systemClock()
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val fault = AtomicReference<(String) -> StoreFault> { StoreFault.NONE }

    fun table(): RowTable = state.get()

    fun failWith(choose: (String) -> StoreFault) = fault.set(choose)

    fun forgetHistory() {
        state.updateAndGet { it.copy(history = emptyList(), forgottenVersion = it.version) }
    }

    fun change(change: RowChange): RowTable? {
        while (true) {
            val before = state.get()
            val after = before.apply(change) ?: return null
            if (state.compareAndSet(before, after)) return after
        }
    }

    fun serve(request: AggregatedHttpRequest): HttpResponse {
        val path = request.path().substringBefore('?')
        val query = QueryParams.fromQueryString(request.path().substringAfter('?', ""))
        return when (fault.get()(path)) {
            StoreFault.REFUSED -> HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)
            StoreFault.ANSWER_LOST -> carryOut(request, path, query).let { HttpResponse.streaming() }
            StoreFault.NONE -> carryOut(request, path, query)
        }
    }

    private fun carryOut(
        request: AggregatedHttpRequest,
        path: String,
        query: QueryParams,
    ): HttpResponse {
        val call = path.removePrefix("/mulberrypin/").substringBefore('/')
        val name = path.substringAfterLast('/')
        return when {
            call == "rows-tx" && request.method() == HttpMethod.POST -> transact(request.contentUtf8())
            call == "rows-get" -> readRows(query)
            call == "rows-feed" -> follow(query)
            call == "blob-put" -> HttpResponse.of(HttpStatus.OK).also { objects[name] = request.content().array() }
            call == "blob-get" -> readObject(name)
            call == "blob-drop" -> HttpResponse.of(HttpStatus.OK).also { objects.remove(name) }
            else -> HttpResponse.of(HttpStatus.BAD_REQUEST)
        }
    }

    private fun readObject(name: String): HttpResponse {
        val content = objects[name] ?: return HttpResponse.of(HttpStatus.NOT_FOUND)
        return HttpResponse.of(HttpStatus.OK, MediaType.OCTET_STREAM, content)
    }

    private fun transact(text: String): HttpResponse {
        val root = Json.parseToJsonElement(text).jsonObject
        val change = RowChange(
            conditions = root.entries("expectedRev").associate { nameOf(it) to it.getValue("ver").jsonPrimitive.long },
            writes = root.entries("puts").associate { nameOf(it) to it.text("value") },
            removals = root.entries("remove").map(::nameOf).toSet(),
        )
        val after = change(change)
        if (after != null) return answer(HttpStatus.OK, after, emptyList())
        val now = state.get()
        return answer(HttpStatus.PRECONDITION_FAILED, now, change.conditions.keys.mapNotNull { now.rows[it] })
    }

    private fun readRows(query: QueryParams): HttpResponse {
        val now = state.get()
        val limit = query.getInt("limit", LARGEST_PAGE)
        val rows = now.range(
            query.get("table", ""),
            query.get("part", ""),
            query.get("from", ""),
            query.get("to", ""),
            limit + 1,
        )
        return answer(HttpStatus.OK, now, rows.take(limit), hasMore = rows.size > limit)
    }

    /** Waits a little for a change, so that a feed does not ask again at once. */
    private fun follow(query: QueryParams): HttpResponse {
        val table = query.get("table", "")
        val after = query.getLong("after", 0)
        val deadline = clock.readMilliseconds() + query.getLong("waitMs", 0)
        val answer = CompletableFuture<HttpResponse>()
        poll(table, after, deadline, answer)
        return HttpResponse.of(answer)
    }

    private fun poll(
        table: String,
        after: Long,
        deadline: Long,
        answer: CompletableFuture<HttpResponse>,
    ) {
        val now = state.get()
        val rows = now.changesAfter(table, after)
        when {
            after < now.forgottenVersion -> {
                answer.complete(HttpResponse.of(HttpStatus.GONE))
            }

            rows.isNotEmpty() || clock.readMilliseconds() >= deadline -> {
                answer.complete(answer(HttpStatus.OK, now, rows))
            }

            else -> {
                CompletableFuture
                    .delayedExecutor(POLL_MILLISECONDS, TimeUnit.MILLISECONDS)
                    .execute { poll(table, after, deadline, answer) }
            }
        }
    }

    private fun answer(
        status: HttpStatus,
        table: RowTable,
        rows: List<KeptRow>,
        hasMore: Boolean = false,
    ): HttpResponse {
        val body = buildJsonObject {
            put("rows", JsonArray(rows.map { it.toJson() }))
            put("hasMore", hasMore)
            put("ver", table.version)
        }
        return HttpResponse.of(status, MediaType.JSON, body.toString())
    }

    private companion object {
        private const val LARGEST_PAGE = 500
        private const val POLL_MILLISECONDS = 10L
    }
}

private fun JsonObject.entries(name: String): List<JsonObject> = get(
    name,
)?.jsonArray.orEmpty().map(JsonElement::jsonObject)

private fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content

private fun nameOf(row: JsonObject): RowName = RowName(row.text("table"), row.text("part"), row.text("key"))
