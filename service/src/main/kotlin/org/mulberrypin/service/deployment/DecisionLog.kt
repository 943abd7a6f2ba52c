package org.mulberrypin.service.deployment

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.Duty
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import java.util.concurrent.atomic.AtomicLong

/**
 * A log line about one decision.
 *
 * @property source name of the component that decided, used as the logger's name
 * @property subject identifier of the request, task, job, instance or dependency that the decision is about
 * @property peer the other process involved; empty if there is none
 * @property inputs the values that the decision was based on, with their ages or versions
 * @property milliseconds monotonic clock reading at the decision, in milliseconds
 */
public data class DecisionLine(
    val source: String,
    val subject: String,
    val decision: String,
    val peer: String,
    val inputs: String,
    val milliseconds: Long,
)

/**
 * Writes decision lines on its own thread. Logging never blocks the calling duty: when the ring is full, the line is
 * dropped and counted, and the next line that is written reports the number of dropped lines.
 */
public class DecisionLog internal constructor(
    private val instance: String,
    private val clock: ServiceClock,
) {
    private val ring: BoundedRing<DecisionLine> = boundedRing("log", RING_CAPACITY)
    private val droppedCount = AtomicLong()
    private var reportedDrops = 0L
    private var thread: Duty? = null

    /** Number of lines dropped since the start. */
    public val droppedLines: Long
        get() = droppedCount.get()

    internal fun start(): DecisionLog {
        thread = startDuty("log", ring, clock, TICK_INTERVAL_MILLISECONDS, ::write) {}
        return this
    }

    /** Queues a line for the log thread, or counts it as dropped when the ring is full. */
    public fun write(
        source: String,
        subject: String,
        decision: String,
        peer: String = "",
        inputs: String = "",
    ) {
        val line = DecisionLine(source, subject, decision, peer, inputs, clock.readMilliseconds())
        if (!ring.offer(line)) droppedCount.incrementAndGet()
    }

    /** Stops the log thread, then writes the lines that are still queued. */
    public fun stop() {
        thread?.stop(STOP_TIMEOUT_MILLISECONDS)
        while (true) write(ring.take(0) ?: break)
    }

    private fun write(line: DecisionLine) {
        val totalDropped = droppedCount.get()
        val message = StringMapMessage(FIELD_COUNT)
            .with("instance", instance)
            .with("subject", line.subject)
            .with("decision", line.decision)
            .with("peer", line.peer)
            .with("inputs", line.inputs)
            .with("clockMilliseconds", line.milliseconds)
        if (totalDropped > reportedDrops) message.with("linesLeftOut", totalDropped - reportedDrops)
        reportedDrops = totalDropped
        LogManager.getLogger(line.source).info(message)
    }

    private companion object {
        /** Capacity of the queue in lines; about one second of lines at the peak load of one instance. */
        private const val RING_CAPACITY = 4_096
        private const val TICK_INTERVAL_MILLISECONDS = 1_000L
        private const val STOP_TIMEOUT_MILLISECONDS = 500L
        private const val FIELD_COUNT = 8
    }
}

/** Starts the decision log of [instance]. */
public fun startDecisionLog(
    instance: String,
    clock: ServiceClock,
): DecisionLog = DecisionLog(instance, clock).start()
