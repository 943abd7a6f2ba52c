package org.mulberrypin.command.soak

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import org.mulberrypin.decisions.traffic.HttpStatusCode
import org.mulberrypin.standins.deployment.CALLER_KEY
import org.mulberrypin.standins.deployment.callInstance
import java.util.concurrent.CompletionException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

/** Violated guarantees, as observed by callers, trainers and backend servers. */
internal typealias Findings = ConcurrentLinkedQueue<String>

/** Calls randomly chosen instances over persistent connections. */
internal class SoakConnections(
    private val ports: () -> List<Int>,
    seed: Long,
) {
    private val random = Random(seed)
    private val clients = ConcurrentHashMap<Int, WebClient>()

    /** Calls a random instance; returns null if no port is known or the connection ended without a response. */
    fun call(
        method: HttpMethod,
        path: String,
        id: String,
        body: String = "body",
    ): AggregatedHttpResponse? {
        val port = ports().randomOrNull(random) ?: return null
        val client = clients.computeIfAbsent(port) { WebClient.of("h1c://127.0.0.1:$it") }
        return try {
            callInstance(client, method, path, id, CALLER_KEY, body)
        } catch (_: CompletionException) {
            null
        }
    }
}

/** Sends requests to the plain service sequentially and checks each response. */
internal class SoakCaller(
    private val name: String,
    private val connections: SoakConnections,
    private val findings: Findings,
) {
    /** Identifiers of the requests that were rejected as not run. */
    val notRun = ArrayList<String>()
    var answered = 0
        private set

    /** Sends requests while [shouldContinue] returns true. */
    fun runWhile(shouldContinue: () -> Boolean) {
        var number = 0
        while (shouldContinue()) {
            number++
            send("$name-$number")
            Thread.sleep(PAUSE_MILLISECONDS)
        }
    }

    private fun send(id: String) {
        val response = connections.call(HttpMethod.POST, "/orders/1", id) ?: return
        when (val status = response.status().code()) {
            HttpStatusCode.OK -> checkResponse(id, response)
            HttpStatusCode.UNAVAILABLE -> checkRefusal(id, response)
            HttpStatusCode.BAD_GATEWAY, HttpStatusCode.GATEWAY_TIMEOUT -> Unit
            else -> findings.add("$id: unexpected status $status for a valid request")
        }
    }

    private fun checkResponse(
        id: String,
        response: AggregatedHttpResponse,
    ) {
        answered++
        val isCorrect = response.contentUtf8() == "answer to $id" &&
            response.headers().get("mulberrypin-response-seal") == "signature-$id"
        if (!isCorrect) findings.add("$id: wrong body or signature, the body is '${response.contentUtf8()}'")
    }

    private fun checkRefusal(
        id: String,
        response: AggregatedHttpResponse,
    ) {
        notRun.add(id)
        if (!response.headers().contains("retry-after")) findings.add("$id: rejected without a retry-after header")
    }

    private companion object {
        private const val PAUSE_MILLISECONDS = 40L
    }
}
