package org.mulberrypin.service.frontend

import com.linecorp.armeria.server.Server
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.InstanceSettings
import org.mulberrypin.schema.generated.Pool
import org.mulberrypin.schema.generated.RequestSettings
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RouteKind
import org.mulberrypin.service.EntryContext
import org.mulberrypin.service.attempts.AttemptPart
import org.mulberrypin.service.configuration.silentPeers
import org.mulberrypin.service.requests.RequestOutputs
import org.mulberrypin.service.requests.ScriptedConnection
import org.mulberrypin.service.requests.ScriptedRequest
import org.mulberrypin.service.requests.startRequestPart
import org.mulberrypin.service.requests.startScriptedServer
import org.mulberrypin.service.rollouts.FakePlatform
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.startsWith
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * Guards against streams of callers that contain the error of another engine, or end as if they were complete: an
 * engine breaks off after some events, and the next one answers with anything but the rest. Also guards against answers
 * that were cut in their head and reach callers as a success. What callers read is read from their sockets.
 */
internal class BrokenStreamsTest {
    /** What the next engine sends to the request that the first one broke off. */
    internal enum class NextAnswer(
        val status: String,
        val body: String,
    ) {
        ERROR("500 Internal Server Error", ENGINE_TEXT),
        UNAVAILABLE("503 Service Unavailable", ENGINE_TEXT),
        UNPROCESSABLE("422 Unprocessable Entity", ENGINE_TEXT),
        NOT_FOUND("404 Not Found", ENGINE_TEXT),
        ERROR_WITH_EVENTS("500 Internal Server Error", "data: {\"choices\":[{\"text\":\"$ENGINE_TEXT\"}]}\n\n$END"),
        TEXT("200 OK", ENGINE_TEXT),
        DOCUMENT("200 OK", """{"choices":[{"text":"$ENGINE_TEXT","finish_reason":"stop"}]}"""),
        EMPTY("200 OK", ""),
        ERROR_EVENT("200 OK", "data: {\"error\":{\"message\":\"$ENGINE_TEXT\"}}\n\n$END"),
        HEAD_AS_EVENT("200 OK", "data: HTTP/1.1 500 $ENGINE_TEXT\n\n$END"),
    }

    private val configurations = AtomicLong()

    @Volatile
    private var latest = Configuration()
    private val requestPart = startRequestPart(context(), RequestOutputs({ true }, {}, {}, {}))
    private val frontEnd = startFrontEnd()

    @Volatile
    private var next: (ScriptedConnection, ScriptedRequest) -> Unit = { _, _ -> }

    /** The engine that gets a request first breaks off after two events; any later one answers as the test says. */
    private val engines = listOf("one", "two").associateWith {
        startScriptedServer { connection ->
            val request = connection.readRequest()
            when {
                request == null || request.path == "/load" -> Unit
                "\"resume_text\":\"\"" in request.body -> connection.write(beginning(request))
                else -> next(connection, request)
            }
        }
    }

    @AfterEach
    fun stop() {
        frontEnd.stop()
        requestPart.stop()
        engines.values.forEach { it.stop() }
    }

    @ParameterizedTest
    @EnumSource(NextAnswer::class)
    fun `an answer that does not continue a broken stream is no part of it`(answer: NextAnswer) {
        next = { connection, request ->
            val length = "content-length: ${answer.body.length}\r\n\r\n"
            connection.write(head(answer.status, request) + length + answer.body)
        }
        expectBroken(readStream())
    }

    @Test
    fun `the head of an answer, cut anywhere, is no part of a broken stream and does not end it`() {
        for (cut in 0..head("200 OK", sampleRequest).length + 1) {
            next = { connection, request -> connection.write((head("200 OK", request) + "\r").take(cut)) }
            expectBroken(readStream())
        }
    }

    @Test
    fun `an answer of a plain service, cut anywhere, is not answered as a success`() {
        val whole = { request: ScriptedRequest -> head("200 OK", request) + "content-length: 4\r\n\r\nbody" }
        for (cut in 0 until whole(sampleRequest).length) {
            next = { connection, request -> connection.write(whole(request).dropLast(1).take(cut)) }
            expectThat(readStatus("GET /services/orders/1 HTTP/1.1")).isEqualTo("HTTP/1.1 502 Bad Gateway")
        }
        next = { connection, request -> connection.write(whole(request)) }
        expectThat(readStatus("GET /services/orders/1 HTTP/1.1")).isEqualTo("HTTP/1.1 200 OK")
    }

    @Test
    fun `a stream that the next engine continues is whole`() {
        next = { connection, request -> connection.write(head("200 OK", request) + "\r\n" + event("c") + END) }
        val received = readStream()
        expectThat(textsOf(received)).isEqualTo("abc")
        expectThat(received).contains(END)
    }

    // Guards against engines that work for a caller whose connection has closed a second ago.
    @Test
    fun `the work for a caller that leaves ends at once`() {
        val requests = mapOf("GET /services/orders/1 HTTP/1.1" to "", "POST /v1/completions HTTP/1.1" to STREAM)
        for ((requestLine, body) in requests) {
            val begun = CountDownLatch(1)
            val ended = CompletableFuture<Long>()
            next = { connection, _ ->
                begun.countDown()
                connection.readRequest()
                ended.complete(System.nanoTime())
            }
            send(requestLine, body) { begun.await() }
            val left = System.nanoTime()
            val worked = ended.get(WAIT_MILLISECONDS.toLong(), TimeUnit.MILLISECONDS) - left
            expectThat(TimeUnit.NANOSECONDS.toMillis(worked)).isLessThan(AT_ONCE_MILLISECONDS)
        }
    }

    private fun expectBroken(received: String) {
        expectThat(received).startsWith("HTTP/1.1 200 OK")
        expectThat(textsOf(received)).isEqualTo("ab")
        // The last part of a body in chunks marks it as complete.
        val foreign = listOf(ENGINE_TEXT, END, "\r\n0\r\n\r\n").filter { it in received }
        expectThat(foreign).isEmpty()
        expectThat(received.split("HTTP/1.1").drop(2)).isEmpty()
    }

    private fun textsOf(received: String): String =
        Regex(""""text":"(\w*)"""").findAll(received).joinToString("") { it.groupValues.last() }

    private fun readStream(): String =
        send("POST /v1/completions HTTP/1.1", STREAM) {
            it.readAllBytes().decodeToString()
        }

    private fun readStatus(requestLine: String): String = send(requestLine, "") { it.bufferedReader().readLine() }

    /** Sends a caller's request and returns what [read] reads of the response. */
    private fun <Result> send(
        requestLine: String,
        body: String,
        read: (InputStream) -> Result,
    ): Result {
        latest = configuration()
        requestPart.configurationChanged(latest)
        Socket("127.0.0.1", frontEnd.activeLocalPort()).use { socket ->
            socket.soTimeout = WAIT_MILLISECONDS
            val fields = "host: a\r\nconnection: close\r\ncontent-length: ${body.length}\r\n\r\n"
            socket.getOutputStream().write("$requestLine\r\n$fields$body".toByteArray())
            return read(socket.getInputStream())
        }
    }

    private fun startFrontEnd(): Server {
        val attempts = AttemptPart({ _, _ -> false }, { false }, { 0 }, {})
        val dependencies =
            FrontEndDependencies(requestPart, { null }, { latest }, { true }, attempts, arrivalFactory(context()))
        val builder = Server.builder().http(InetSocketAddress("127.0.0.1", 0)).requestTimeoutMillis(0)
        completionRoutes(dependencies)(builder)
        plainServiceRoutes(dependencies)(builder)
        return builder.build().also { it.start().join() }
    }

    /** A configuration whose servers have new names, so that no failure before counts for them. */
    private fun configuration(): Configuration {
        val version = configurations.incrementAndGet()
        val servers = engines.map { (name, engine) ->
            BackendServer(name = "$name-$version", failureDomain = name, address = engine.address)
        }
        val stream = Route(name = "sorter", pool = "engines", openToAll = true)
        val plain = Route("orders", RouteKind.PLAIN_SERVICE, "shop", true, repeatableMethods = listOf("GET"))
        val enginePool = Pool(name = "engines", backendServers = servers, slots = 2, model = "sorter")
        val shopServers = servers.map { it.copy(name = "shop-${it.name}") }
        val shopPool = Pool("shop", RouteKind.PLAIN_SERVICE, shopServers, slots = 2)
        return Configuration(version = version, routes = listOf(stream, plain), pools = listOf(enginePool, shopPool))
    }

    private fun context() =
        EntryContext(
            settings = EntrySettings(instance = InstanceSettings(name = "one"), requests = requestSettings),
            incarnation = 1,
            clock = systemClock(),
            platform = FakePlatform().platform,
            peers = silentPeers(),
            metrics = SimpleMeterRegistry(),
            explain = {},
        )

    private fun head(
        status: String,
        request: ScriptedRequest,
    ) = "HTTP/1.1 $status\r\n${request.attempt}"

    private fun beginning(request: ScriptedRequest) = head("200 OK", request) + "\r\n" + event("a") + event("b")

    private fun event(text: String) = """data: {"choices":[{"text":"$text","tokens":1}]}""" + "\n\n"

    private companion object {
        private const val ENGINE_TEXT = "the-text-of-the-engine"
        private const val END = "data: [DONE]\n\n"
        private const val STREAM = """{"model":"sorter","prompt":"p","stream":true}"""
        private const val WAIT_MILLISECONDS = 20_000

        /** Time within which the work for a caller that has left must end, in milliseconds. */
        private const val AT_ONCE_MILLISECONDS = 500L

        /** A request whose identifier is at least as long as those of the other requests. */
        private val sampleRequest = ScriptedRequest("", "x-attempt-id: ${"i".repeat(40)}\r\n", "")
        private val requestSettings = RequestSettings(
            inFlightLimit = 50,
            queueLimit = 20,
            queueWaitMilliseconds = 2_000,
            firstTokenTimeoutMilliseconds = 2_000,
            idleTimeoutMilliseconds = 2_000,
            longestRequestMilliseconds = 10_000,
            attemptLimit = 2,
            retryBudgetRatio = 10.0,
            crashLimit = 1_000,
            isolationMilliseconds = 1,
        )
    }
}
