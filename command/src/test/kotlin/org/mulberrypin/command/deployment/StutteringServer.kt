/** A raw backend server that answers twice: its second copies come early, late, between other responses, or cut. */
package org.mulberrypin.command.deployment

import org.mulberrypin.runtime.systemClock
import org.mulberrypin.standins.deployment.StoreStandIn
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/** When the copy of a response is written. */
internal enum class CopyMoment { NONE, AT_ONCE, LATE, BEFORE_NEXT, AFTER_NEXT }

/**
 * Which faults the servers show.
 *
 * @property copies share of the responses that are followed by a copy
 * @property cut whether a copy may break off
 * @property nameless whether a failure may omit the identifier of its request
 */
internal data class StutteringPlan(
    val copies: Double = 0.5,
    val cut: Boolean = true,
    val nameless: Boolean = true,
)

/** What a server did with a request that reached it; [body] is the text of its response. */
internal data class HandledRequest(
    val id: String,
    val server: String,
    val pool: String,
    val call: RawMessage,
    val ran: Boolean,
    val status: Int,
    val signature: String,
    val body: String,
    val arrivalMilliseconds: Long,
    val run: Int,
)

/** A server at a fixed port; each lifetime has an identifier and a pool of its own. */
internal class StutteringServer(
    private val store: StoreStandIn,
    private val plan: StutteringPlan,
    private val handled: ConcurrentLinkedQueue<HandledRequest>,
    seed: Long,
) : AutoCloseable {
    private val random = Random(seed)
    private val runs = AtomicInteger()
    private val orders = AtomicInteger()
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()
    private var listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private var port = listener.localPort

    @Volatile
    private var id = ""

    @Volatile
    private var pool = ""

    /** Starts a lifetime, with the port of the lifetime before. */
    fun start(
        id: String,
        pool: String,
    ) {
        this.id = id
        this.pool = pool
        if (listener.isClosed) listener = bindAgain()
        val accepting = listener
        thread(isDaemon = true) {
            ignoringErrors {
                while (true) {
                    val socket = accepting.accept()
                    sockets.add(socket)
                    thread(isDaemon = true) { ignoringErrors { socket.use(::serve) } }
                }
            }
        }
        register("ready")
    }

    /** Writes the entry of this lifetime with [state]. */
    fun register(state: String) {
        val models = if (pool == ENGINES) """{"name":"sorter","version":1,"adapters":[]}""" else ""
        val entry = """{"service":"$pool","address":"127.0.0.1:$port","zone":"zone-a","slots":8,"state":"$state",""" +
            """"born":1,"models":[$models]}"""
        store.write("servers", id, entry)
    }

    /** Ends a lifetime: closes the port and resets all connections. The entry in the store stays. */
    fun crash() {
        listener.close()
        sockets.forEach { ignoringErrors { it.setSoLinger(true, 0) } }
        sockets.forEach { ignoringErrors { it.close() } }
        sockets.clear()
    }

    override fun close() = crash()

    /** Listens on the port of the lifetime before, or on a free one if a connection of another process has taken it. */
    private fun bindAgain(): ServerSocket {
        val host = InetAddress.getLoopbackAddress()
        val again = ServerSocket()
        again.reuseAddress = true
        repeat(BIND_ATTEMPTS) {
            ignoringErrors { if (!again.isBound) again.bind(InetSocketAddress(host, port), BACKLOG) }
            if (!again.isBound) Thread.sleep(BIND_PAUSE_MILLISECONDS)
        }
        if (!again.isBound) again.bind(InetSocketAddress(host, 0), BACKLOG)
        port = again.localPort
        return again
    }

    private fun serve(socket: Socket) {
        socket.tcpNoDelay = true
        val lifetime = id
        val lifetimePool = pool
        val input = socket.getInputStream().buffered()
        val connection = StutteringConnection(socket)
        val choice = Random(synchronized(random) { random.nextLong() })
        while (true) {
            val call = readMessage(input, isResponse = false) ?: return
            connection.writeDue(CopyMoment.BEFORE_NEXT)
            if (id != lifetime || pool != lifetimePool || !respond(connection, call, lifetime, choice)) return
            connection.writeDue(CopyMoment.AFTER_NEXT)
        }
    }

    private fun respond(
        connection: StutteringConnection,
        call: RawMessage,
        lifetime: String,
        choice: Random,
    ): Boolean {
        val path = call.first.split(' ')[1]
        val expected = call.header("mulberrypin-expect-instance")
        return when {
            expected != null && expected != lifetime -> refuse(connection, call, lifetime, MISDIRECTED)
            path == "/mulberrypin/report" -> connection.write(controlResponse(OK, reportText()))
            path == "/mulberrypin/order" -> connection.write(controlResponse(ACCEPTED, "")).also { orders.addAndGet(1) }
            choice.nextDouble() < REFUSED_SHARE -> refuse(connection, call, lifetime, UNAVAILABLE, choice)
            else -> run(connection, call, lifetime, choice)
        }
    }

    private fun reportText() =
        """{"busy":false,"sequence":${orders.get()},"models":[{"name":"sorter","version":1}]}"""

    private fun controlResponse(
        status: Int,
        body: String,
    ) = "HTTP/1.1 $status Status\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun refuse(
        connection: StutteringConnection,
        call: RawMessage,
        lifetime: String,
        status: Int,
        choice: Random = Random(1),
    ): Boolean {
        val request = record(call, lifetime, status, ran = false, signature = "", body = "refused by $lifetime")
        val text = responseText(request, choice, "Mulberrypin-Not-Run: 1\r\n")
        return writeWithCopy(connection, text, choice)
    }

    private fun run(
        connection: StutteringConnection,
        call: RawMessage,
        lifetime: String,
        choice: Random,
    ): Boolean {
        val id = call.header(REQUEST_ID).orEmpty()
        val run = runs.incrementAndGet()
        val isStream = call.first.startsWith("POST /sort/")
        val status = if (choice.nextDouble() < FAILED_SHARE) INTERNAL_ERROR else OK
        val first = (call.header("last-event-id")?.toInt() ?: 0) + 1
        val body = if (isStream && status == OK) {
            (first..EVENTS_OF_TASK).joinToString("") { "id: $it\ndata: $lifetime/$run/$it\n\n" }
        } else {
            "<$id $lifetime/$run " + "x".repeat(choice.nextInt(MAX_PADDING)) + ">"
        }
        val request = record(call, lifetime, status, ran = true, signature = "seal-$lifetime-$run", body = body, run)
        if (choice.nextDouble() < SLOW_SHARE) Thread.sleep(choice.nextLong(MAX_WORK_MILLISECONDS))
        val streamFields = "Content-Type: text/event-stream\r\nMulberrypin-Weight-Versions: 1\r\n"
        val text = responseText(request, choice, if (isStream) streamFields else "")
        if (choice.nextDouble() < BROKEN_SHARE) {
            connection.write(text.take(choice.nextInt(text.length)))
            return false
        }
        return writeWithCopy(connection, text, choice)
    }

    private fun record(
        call: RawMessage,
        lifetime: String,
        status: Int,
        ran: Boolean,
        signature: String,
        body: String,
        run: Int = 0,
    ): HandledRequest {
        val id = call.header(REQUEST_ID).orEmpty()
        val now = systemClock().readMilliseconds()
        val request = HandledRequest(id, lifetime, pool, call, ran, status, signature, body, now, run)
        handled.add(request)
        return request
    }

    private fun responseText(
        request: HandledRequest,
        choice: Random,
        fields: String,
    ): String {
        val isNameless = plan.nameless && request.status != OK && choice.nextDouble() < NAMELESS_SHARE
        val own = listOfNotNull(
            "Mulberrypin-Request-Id: ${request.id}\r\n".takeIf { !isNameless },
            "Mulberrypin-Response-Seal: ${request.signature}\r\n".takeIf { request.signature.isNotEmpty() },
            "Mulberrypin-Server-Load: 1,0,8\r\n",
        ).shuffled(choice).joinToString("")
        val head = "HTTP/1.1 ${request.status} Status\r\n$own$fields"
        return if (choice.nextBoolean()) {
            "${head}Content-Length: ${request.body.length}\r\n\r\n${request.body}"
        } else {
            val size = request.body.length.toString(HEXADECIMAL)
            "${head}Transfer-Encoding: chunked\r\n\r\n$size\r\n${request.body}\r\n0\r\n\r\n"
        }
    }

    private fun writeWithCopy(
        connection: StutteringConnection,
        text: String,
        choice: Random,
    ): Boolean {
        if (choice.nextDouble() >= plan.copies) return connection.write(text)
        val copy = if (plan.cut && choice.nextDouble() < CUT_SHARE) cut(text, choice) else text
        return when (CopyMoment.entries.random(choice)) {
            CopyMoment.NONE -> connection.write(text)

            CopyMoment.AT_ONCE -> connection.write(text + copy)

            CopyMoment.LATE -> connection.write(text).also {
                val delay = choice.nextLong(1, MAX_DELAY_MILLISECONDS)
                thread(isDaemon = true) {
                    Thread.sleep(delay)
                    ignoringErrors { connection.write(copy) }
                }
            }

            CopyMoment.BEFORE_NEXT -> connection.write(text).also { connection.beforeNext = copy }

            CopyMoment.AFTER_NEXT -> connection.write(text).also { connection.afterNext = copy }
        }
    }

    /** Breaks [text] off in its status line, its head or its body, each as likely. */
    private fun cut(
        text: String,
        choice: Random,
    ): String {
        val head = text.indexOf("\r\n\r\n")
        return when (choice.nextInt(CUT_PLACES)) {
            0 -> text.take(choice.nextInt(1, text.indexOf("\r\n")))
            1 -> text.take(choice.nextInt(text.indexOf("\r\n"), head))
            else -> text.take(choice.nextInt(head, text.length))
        }
    }

    internal companion object {
        const val PLAIN = "plain"
        const val ENGINES = "engines"
        const val EVENTS_OF_TASK = 6
        const val OK = 200
        const val REQUEST_ID = "mulberrypin-request-id"
        private const val ACCEPTED = 202
        private const val MISDIRECTED = 421
        private const val INTERNAL_ERROR = 500
        private const val UNAVAILABLE = 503
        private const val HEXADECIMAL = 16
        private const val BACKLOG = 200
        private const val BIND_ATTEMPTS = 20
        private const val BIND_PAUSE_MILLISECONDS = 20L
        private const val CUT_PLACES = 3
        private const val REFUSED_SHARE = 0.05
        private const val FAILED_SHARE = 0.15
        private const val SLOW_SHARE = 0.5
        private const val BROKEN_SHARE = 0.02
        private const val NAMELESS_SHARE = 0.2
        private const val CUT_SHARE = 0.5
        private const val MAX_PADDING = 2_000
        private const val MAX_WORK_MILLISECONDS = 30L
        private const val MAX_DELAY_MILLISECONDS = 26L
    }
}

/** The writing side of one connection of a server, with the copies that are still to be written. */
private class StutteringConnection(
    socket: Socket,
) {
    private val output = socket.getOutputStream()
    var beforeNext: String? = null
    var afterNext: String? = null
    private var dueAfterNext: String? = null

    @Synchronized
    fun write(text: String): Boolean {
        output.write(text.toByteArray(Charsets.ISO_8859_1))
        return true
    }

    /** Writes the copy that is due at [moment]; a copy for after the next response waits for one more response. */
    fun writeDue(moment: CopyMoment) {
        if (moment == CopyMoment.BEFORE_NEXT) {
            beforeNext?.let(::write)
            beforeNext = null
        } else {
            dueAfterNext?.let(::write)
            dueAfterNext = afterNext
            afterNext = null
        }
    }
}

/** Runs [act]; either end may close a connection at any time. */
internal fun ignoringErrors(act: () -> Unit) {
    try {
        act()
    } catch (_: IOException) {
        return
    }
}
