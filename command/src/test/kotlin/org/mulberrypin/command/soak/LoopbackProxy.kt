package org.mulberrypin.command.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** What a proxy does to the bytes that pass it. */
internal enum class LinkFault {
    NONE,

    /** Bytes of both directions arrive later. */
    DELAYED,

    /** Requests do not arrive until the fault is over. */
    REQUESTS_HELD,

    /** Answers do not arrive until the fault is over. */
    ANSWERS_HELD,
}

/** Carries connections to [target] on the loopback interface and disturbs them from outside both ends. */
internal class LoopbackProxy(
    private val target: String,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val open = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    var fault: LinkFault = LinkFault.NONE

    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true, name = "proxy $target") { accept() }
    }

    /** Resets all connections that are open now. */
    fun reset() {
        open.toList().forEach { socket ->
            quietly {
                socket.setSoLinger(true, 0)
                socket.close()
            }
        }
        open.clear()
    }

    override fun close() {
        listener.close()
        reset()
    }

    private fun accept() =
        quietly {
            while (true) {
                val caller = listener.accept()
                thread(isDaemon = true) { connect(caller) }
            }
        }

    private fun connect(caller: Socket) {
        val server = quietly { Socket("127.0.0.1", target.substringAfterLast(':').toInt()) }
        if (server == null) {
            quietly { caller.close() }
            return
        }
        open.add(caller)
        open.add(server)
        thread(isDaemon = true) { pump(caller, server, LinkFault.REQUESTS_HELD) }
        pump(server, caller, LinkFault.ANSWERS_HELD)
    }

    private fun pump(
        from: Socket,
        to: Socket,
        held: LinkFault,
    ) {
        quietly {
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (fault == LinkFault.DELAYED) Thread.sleep(DELAY_MILLISECONDS)
                while (fault == held) Thread.sleep(CHECK_MILLISECONDS)
                to.getOutputStream().write(buffer, 0, count)
            }
        }
        listOf(from, to).forEach { socket -> quietly { socket.close() } }
        open.removeAll(setOf(from, to))
    }

    /** Either end may close a connection at any time, which ends what the proxy does with it. */
    private fun <Value> quietly(act: () -> Value): Value? =
        try {
            act()
        } catch (_: IOException) {
            null
        }

    private companion object {
        private const val BACKLOG = 200
        private const val BUFFER_BYTES = 16_384
        private const val DELAY_MILLISECONDS = 80L
        private const val CHECK_MILLISECONDS = 20L
    }
}
