package org.mulberrypin.runtime

/**
 * The clock of a process: a function that reads milliseconds.
 *
 * Duties read the clock once for each event and hand the reading to the decision as an argument, so that a decision
 * can be replayed. Readings never go backwards within a process; they are not comparable between processes.
 *
 * @property readMilliseconds reads milliseconds since an arbitrary origin of this process
 * @property readWallMilliseconds reads milliseconds since the Unix epoch, for records that people read
 */
public data class ServiceClock(
    val readMilliseconds: () -> Long,
    val readWallMilliseconds: () -> Long,
)

/** Creates the clock of a running process, backed by the monotonic clock of the machine. */
public fun systemClock(): ServiceClock =
    ServiceClock(
        readMilliseconds = ::monotonicClockMilliseconds,
        readWallMilliseconds = System::currentTimeMillis,
    )

private fun monotonicClockMilliseconds(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
