package org.mulberrypin.command.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** A network fault that a proxy injects. */
internal enum class LinkFault {
    NONE,

    /** Data is delayed in both directions. */
    DELAYED,

    /** Requests are withheld until the fault ends. */
    REQUESTS_WITHHELD,

    /** Responses are withheld until the fault ends. */
    RESPONSES_WITHHELD,
}

/** A TCP proxy to [target] on the loopback interface that injects network faults. */
internal class LoopbackProxy(
    private val target: String,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val openSockets = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    var fault: LinkFault = LinkFault.NONE

    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true, name = "proxy $target") { acceptConnections() }
    }

    /** Resets all open connections with a TCP RST. */
    fun reset() {
        openSockets.toList().forEach { socket ->
            ignoringIoErrors {
                socket.setSoLinger(true, 0)
                socket.close()
            }
        }
        openSockets.clear()
    }

    override fun close() {
        listener.close()
        reset()
    }

    private fun acceptConnections() =
        ignoringIoErrors {
            while (true) {
                val caller = listener.accept()
                thread(isDaemon = true) { connect(caller) }
            }
        }

    private fun connect(caller: Socket) {
        val server = ignoringIoErrors { Socket("127.0.0.1", target.substringAfterLast(':').toInt()) }
        if (server == null) {
            ignoringIoErrors { caller.close() }
            return
        }
        openSockets.add(caller)
        openSockets.add(server)
        thread(isDaemon = true) { pump(caller, server, LinkFault.REQUESTS_WITHHELD) }
        pump(server, caller, LinkFault.RESPONSES_WITHHELD)
    }

    private fun pump(
        from: Socket,
        to: Socket,
        withholdingFault: LinkFault,
    ) {
        ignoringIoErrors {
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (fault == LinkFault.DELAYED) Thread.sleep(DELAY_MILLISECONDS)
                while (fault == withholdingFault) Thread.sleep(POLL_MILLISECONDS)
                to.getOutputStream().write(buffer, 0, count)
            }
        }
        listOf(from, to).forEach { socket -> ignoringIoErrors { socket.close() } }
        openSockets.removeAll(setOf(from, to))
    }

    /** Runs [act] and returns null on an I/O error, because either end may close a connection at any time. */
    private fun <Value> ignoringIoErrors(act: () -> Value): Value? =
        try {
            act()
        } catch (_: IOException) {
            null
        }

    private companion object {
        private const val BACKLOG = 200
        private const val BUFFER_BYTES = 16_384
        private const val DELAY_MILLISECONDS = 80L
        private const val POLL_MILLISECONDS = 20L
    }
}
