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
 * A line about one decision.
 *
 * @property part the part that decided
 * @property subject identifier of the request, task, job, instance or dependency
 * @property inputs what decided it, with ages or versions
 */
public data class DecisionLine(
    val part: String,
    val subject: String,
    val decision: String,
    val peer: String,
    val inputs: String,
    val milliseconds: Long,
)

/**
 * Writes decision lines on a thread of its own. Writing never blocks the duty that decided: when the ring is full, the
 * line is left out and counted, and the next line that is written says how many are missing.
 */
public class DecisionLog internal constructor(
    private val instance: String,
    private val clock: ServiceClock,
) {
    private val ring: BoundedRing<DecisionLine> = boundedRing("log", RING_CAPACITY)
    private val dropped = AtomicLong()
    private var reported = 0L
    private var duty: Duty? = null

    /** Lines that were left out since the start. */
    public val droppedLines: Long
        get() = dropped.get()

    internal fun start(): DecisionLog {
        duty = startDuty("log", ring, clock, TICK_MILLISECONDS, ::write) {}
        return this
    }

    /** Hands a line to the writer, or counts it as left out. */
    public fun write(
        part: String,
        subject: String,
        decision: String,
        peer: String = "",
        inputs: String = "",
    ) {
        val line = DecisionLine(part, subject, decision, peer, inputs, clock.readMilliseconds())
        if (!ring.offer(line)) dropped.incrementAndGet()
    }

    /** Writes what is left and stops. */
    public fun stop() {
        duty?.stop(STOP_MILLISECONDS)
        while (true) write(ring.take(0) ?: break)
    }

    private fun write(line: DecisionLine) {
        val missing = dropped.get()
        val message = StringMapMessage(FIELDS)
            .with("instance", instance)
            .with("subject", line.subject)
            .with("decision", line.decision)
            .with("peer", line.peer)
            .with("inputs", line.inputs)
            .with("clockMilliseconds", line.milliseconds)
        if (missing > reported) message.with("linesLeftOut", missing - reported)
        reported = missing
        LogManager.getLogger(line.part).info(message)
    }

    private companion object {
        /** Lines that wait to be written; about a second of lines under the largest load of one instance. */
        private const val RING_CAPACITY = 4_096
        private const val TICK_MILLISECONDS = 1_000L
        private const val STOP_MILLISECONDS = 500L
        private const val FIELDS = 8
    }
}

/** Starts the log of [instance]. */
public fun startDecisionLog(
    instance: String,
    clock: ServiceClock,
): DecisionLog = DecisionLog(instance, clock).start()
