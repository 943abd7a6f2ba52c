/** A stand-in for the platform's store over HTTP, with injectable faults. */
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

/** Fault of a store call. */
public enum class StoreFault {
    /** No fault. */
    NONE,

    /** The call is refused without an effect. */
    REFUSED,

    /** The call takes effect, but gets no response. */
    ANSWER_LOST,
}

/**
 * A running store stand-in.
 *
 * @property address host and port
 * @property write writes a row, as an operator or a backend server does
 * @property remove removes a row
 * @property table returns a snapshot of all rows
 * @property setFaults sets the function that selects the fault of each subsequent call by its path
 * @property clearHistory drops the change history, so that feeds from older versions fail with status 410
 * @property stop closes the port and all connections
 */
public data class StoreStandIn(
    val address: String,
    val write: (table: String, key: String, value: String) -> Unit,
    val remove: (table: String, key: String) -> Unit,
    val table: () -> RowTable,
    val setFaults: ((path: String) -> StoreFault) -> Unit,
    val clearHistory: () -> Unit,
    val stop: () -> Unit,
)

/** Starts a store stand-in on a free port of the loopback interface. */
public fun startStoreStandIn(): StoreStandIn {
    val handler = StoreHandler()
    val server = Server
        .builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .requestTimeoutMillis(0)
        .gracefulShutdownTimeoutMillis(0, 0)
        .serviceUnder("/") { _, request -> HttpResponse.of(request.aggregate().thenApply(handler::serve)) }
        .build()
    server.start().join()
    return StoreStandIn(
        address = "127.0.0.1:${server.activeLocalPort()}",
        write = { table, key, value ->
            val encoded = Base64.getEncoder().encodeToString(value.toByteArray())
            handler.commit(RowTransaction(writes = mapOf(RowKey(table, "", key) to encoded)))
        },
        remove = { table, key -> handler.commit(RowTransaction(removals = setOf(RowKey(table, "", key)))) },
        table = handler::table,
        setFaults = handler::setFaults,
        clearHistory = handler::clearHistory,
        stop = { server.stop().join() },
    )
}

private class StoreHandler {
    private val state = AtomicReference(RowTable())
    private val clock = systemClock()
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val fault = AtomicReference<(String) -> StoreFault> { StoreFault.NONE }

    fun table(): RowTable = state.get()

    fun setFaults(select: (String) -> StoreFault) = fault.set(select)

    fun clearHistory() {
        state.updateAndGet { it.copy(history = emptyList(), compactedVersion = it.version) }
    }

    fun commit(transaction: RowTransaction): RowTable? {
        while (true) {
            val before = state.get()
            val after = before.apply(transaction) ?: return null
            if (state.compareAndSet(before, after)) return after
        }
    }

    fun serve(request: AggregatedHttpRequest): HttpResponse {
        val path = request.path().substringBefore('?')
        val query = QueryParams.fromQueryString(request.path().substringAfter('?', ""))
        return when (fault.get()(path)) {
            StoreFault.REFUSED -> HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)
            StoreFault.ANSWER_LOST -> execute(request, path, query).let { HttpResponse.streaming() }
            StoreFault.NONE -> execute(request, path, query)
        }
    }

    private fun execute(
        request: AggregatedHttpRequest,
        path: String,
        query: QueryParams,
    ): HttpResponse {
        val call = path.removePrefix("/mulberrypin/").substringBefore('/')
        val name = path.substringAfterLast('/')
        return when {
            call == "rows-tx" && request.method() == HttpMethod.POST -> transact(request.contentUtf8())
            call == "rows-get" -> readRange(query)
            call == "rows-feed" -> longPoll(query)
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
        val transaction = RowTransaction(
            conditions = root.entries("expectedRev").associate {
                rowKeyOf(it) to it.getValue("ver").jsonPrimitive.long
            },
            writes = root.entries("puts").associate { rowKeyOf(it) to it.text("value") },
            removals = root.entries("remove").map(::rowKeyOf).toSet(),
        )
        val after = commit(transaction)
        if (after != null) return rowsResponse(HttpStatus.OK, after, emptyList())
        val now = state.get()
        return rowsResponse(
            HttpStatus.PRECONDITION_FAILED,
            now,
            transaction.conditions.keys.mapNotNull { now.rows[it] },
        )
    }

    private fun readRange(query: QueryParams): HttpResponse {
        val now = state.get()
        val limit = query.getInt("limit", MAXIMUM_PAGE_ROWS)
        val rows = now.range(
            query.get("table", ""),
            query.get("part", ""),
            query.get("from", ""),
            query.get("to", ""),
            limit + 1,
        )
        return rowsResponse(HttpStatus.OK, now, rows.take(limit), hasMore = rows.size > limit)
    }

    /** Long-polls for changes: responds once there are some, or after the query's waitMs. */
    private fun longPoll(query: QueryParams): HttpResponse {
        val table = query.get("table", "")
        val afterVersion = query.getLong("after", 0)
        val deadlineMilliseconds = clock.readMilliseconds() + query.getLong("waitMs", 0)
        val response = CompletableFuture<HttpResponse>()
        pollChanges(table, afterVersion, deadlineMilliseconds, response)
        return HttpResponse.of(response)
    }

    private fun pollChanges(
        table: String,
        afterVersion: Long,
        deadlineMilliseconds: Long,
        response: CompletableFuture<HttpResponse>,
    ) {
        val now = state.get()
        val rows = now.changesAfter(table, afterVersion)
        when {
            afterVersion < now.compactedVersion -> {
                response.complete(HttpResponse.of(HttpStatus.GONE))
            }

            rows.isNotEmpty() || clock.readMilliseconds() >= deadlineMilliseconds -> {
                response.complete(rowsResponse(HttpStatus.OK, now, rows))
            }

            else -> {
                CompletableFuture
                    .delayedExecutor(POLL_MILLISECONDS, TimeUnit.MILLISECONDS)
                    .execute { pollChanges(table, afterVersion, deadlineMilliseconds, response) }
            }
        }
    }

    private fun rowsResponse(
        status: HttpStatus,
        table: RowTable,
        rows: List<StoredRow>,
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
        private const val MAXIMUM_PAGE_ROWS = 500
        private const val POLL_MILLISECONDS = 10L
    }
}

private fun JsonObject.entries(name: String): List<JsonObject> = get(
    name,
)?.jsonArray.orEmpty().map(JsonElement::jsonObject)

private fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content

private fun rowKeyOf(row: JsonObject): RowKey = RowKey(row.text("table"), row.text("part"), row.text("key"))
