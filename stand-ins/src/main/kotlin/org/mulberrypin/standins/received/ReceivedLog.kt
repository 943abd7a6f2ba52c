/** A log of the requests that a backend server stand-in received, so that tests can verify them. */
package org.mulberrypin.standins.received

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.schema.generated.ReceivedRequest
import org.mulberrypin.schema.generated.ReceivedRequests
import org.mulberrypin.standins.jsonReply

/**
 * @property total number of requests received since the start
 * @property last the most recent requests, oldest first
 */
internal data class ReceivedLog(
    val total: Long = 0,
    val last: PersistentList<ReceivedRequest> = persistentListOf(),
)

/** Appends [request] and drops the oldest request if there are more than [limit]. */
internal fun ReceivedLog.add(
    request: ReceivedRequest,
    limit: Int,
): ReceivedLog = ReceivedLog(total + 1, (if (last.size >= limit) last.removeAt(0) else last).add(request))

/** The logged requests that contain [text] in their path, a header or their body. */
internal fun ReceivedLog.find(text: String): ReceivedRequests =
    ReceivedRequests(total, last.filter { it.containsText(text) })

private fun ReceivedRequest.containsText(text: String): Boolean =
    text in path || text in body || headers.any { text in it }

/** Creates the log entry of [request]. */
internal fun receivedRequest(request: AggregatedHttpRequest): ReceivedRequest =
    ReceivedRequest(
        method = request.method().name,
        path = request.path(),
        headers = request.headers().map { (name, value) -> "$name: $value" },
        body = request.contentUtf8(),
    )

/** Adds GET /received?contains=, which returns the logged requests that contain a text. */
internal fun addReceivedRoute(
    builder: ServerBuilder,
    log: () -> ReceivedLog,
) {
    builder.route().get("/received").build { context, _ ->
        val text = context.queryParam("contains").orEmpty()
        jsonReply(ReceivedRequests.serializer(), log().find(text))
    }
}
