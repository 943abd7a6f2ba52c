package org.mulberrypin.runtime

/**
 * The monotonic clock and the wall clock of a process.
 *
 * Duties read the clock once per event and pass the time to the decision as an argument, so that a decision can be
 * replayed. Monotonic time never decreases within a process and is not comparable between processes.
 *
 * @property readMilliseconds returns monotonic time in milliseconds since an arbitrary origin of this process
 * @property readWallMilliseconds returns wall clock time in milliseconds since the Unix epoch
 */
public data class ServiceClock(
    val readMilliseconds: () -> Long,
    val readWallMilliseconds: () -> Long,
)

/** Creates a clock that reads the system's monotonic clock and wall clock. */
public fun systemClock(): ServiceClock =
    ServiceClock(
        readMilliseconds = ::monotonicClockMilliseconds,
        readWallMilliseconds = System::currentTimeMillis,
    )

private fun monotonicClockMilliseconds(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
