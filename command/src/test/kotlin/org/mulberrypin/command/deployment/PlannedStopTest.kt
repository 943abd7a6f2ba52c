package org.mulberrypin.command.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.standins.deployment.rawRequest
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.io.BufferedReader
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/**
 * A planned stop under load. Callers send on kept and on new connections until the process is gone, also those that the
 * balancer would have sent elsewhere; none may have been passed on to a backend server and end without an answer.
 */
class PlannedStopTest {
    private val answered = ConcurrentHashMap.newKeySet<String>()
    private val unanswered = ConcurrentLinkedQueue<UnansweredRequest>()
    private val counter = AtomicLong()
    private val isStopped = AtomicBoolean()
    private val clock = systemClock()

    /** A request whose connection ended before its answer; times by the monotonic clock in milliseconds. */
    private data class UnansweredRequest(
        val id: String,
        val sentMilliseconds: Long,
        val endedMilliseconds: Long,
    )

    @Test
    fun `answers every request that it has read, until the end`() {
        DeploymentEnvironment().use { environment ->
            val instance = environment.start("entry-1")
            val callers = (1..CALLERS).map { Thread { callUntilStopped(instance.callerPort) }.apply { start() } }
            Thread.sleep(LOAD_MILLISECONDS)
            instance.drainAndStop()
            isStopped.set(true)
            callers.forEach { it.join() }
            val passedOn = environment.plainService.executedRequests.mapTo(HashSet()) { it.id }
            expectThat(answered.size).isGreaterThan(CALLERS * 10)
            expectThat(unanswered.filter { it.id in passedOn }).isEmpty()
            val late = unanswered.filter { it.endedMilliseconds - it.sentMilliseconds > LOSS_SLACK_MILLISECONDS }
            expectThat(late).isEmpty()
        }
    }

    @Test
    fun `answers a request that its server does not finish before the end of the grace period`() {
        DeploymentEnvironment().use { environment ->
            val instance = environment.start("entry-1")
            environment.plainService.isSilent.set(true)
            val stop = Thread { instance.drainAndStop() }.apply { start() }
            Thread.sleep(LATE_IN_GRACE_MILLISECONDS)
            Socket("127.0.0.1", instance.callerPort).use { callOnConnection(it, "/payments/1") }
            stop.join()
            expectThat(environment.plainService.executedRequests.map { it.id }).isEqualTo(listOf("id-1"))
            expectThat(unanswered.map { it.id }).isEmpty()
            expectThat(answered.toSet()).isEqualTo(setOf("id-1"))
        }
    }

    private fun callUntilStopped(port: Int) {
        while (!isStopped.get()) {
            try {
                Socket("127.0.0.1", port).use { callOnConnection(it) }
            } catch (_: IOException) {
                return // The port is closed.
            }
        }
    }

    /** Sends one request after the other until the instance closes the connection. */
    private fun callOnConnection(
        socket: Socket,
        path: String = "/orders/1",
    ) {
        socket.soTimeout = TIMEOUT_MILLISECONDS
        val reader = socket.getInputStream().bufferedReader()
        while (true) {
            val id = "id-${counter.incrementAndGet()}"
            val sent = clock.readMilliseconds()
            try {
                socket.getOutputStream().write(rawRequest(path, id).toByteArray())
                val isLast = readResponse(reader) ?: throw IOException("closed")
                answered.add(id)
                if (isLast) return
            } catch (_: IOException) {
                unanswered.add(UnansweredRequest(id, sent, clock.readMilliseconds()))
                return
            }
        }
    }

    /** Reads a response; returns whether it is the last of its connection, or null if the connection ends before it. */
    private fun readResponse(reader: BufferedReader): Boolean? {
        val head = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        val length = head.firstOrNull { it.startsWith("content-length:", ignoreCase = true) } ?: return null
        repeat(length.substringAfter(':').trim().toInt()) { if (reader.read() < 0) return null }
        return head.any { it.equals("connection: close", ignoreCase = true) }
    }

    private companion object {
        private const val CALLERS = 16
        private const val LOAD_MILLISECONDS = 500L

        /** Time after the begin of a stop at which requests are still passed on, in milliseconds. */
        private const val LATE_IN_GRACE_MILLISECONDS = 1_500L
        private const val TIMEOUT_MILLISECONDS = 5_000

        /** Time after its last byte within which a request may cross the close of its connection, in milliseconds. */
        private const val LOSS_SLACK_MILLISECONDS = 200L
    }
}
