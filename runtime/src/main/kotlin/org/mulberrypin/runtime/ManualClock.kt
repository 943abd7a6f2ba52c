package org.mulberrypin.runtime

import java.util.concurrent.atomic.AtomicLong

/**
 * A clock for tests whose time changes only when it is advanced.
 *
 * @property clock the clock to pass to the code under test
 * @property advance advances the clock by a number of milliseconds
 */
public data class ManualClock(
    val clock: ServiceClock,
    val advance: (Long) -> Unit,
)

/** Creates a manual clock whose monotonic and wall clock time start at [startMilliseconds]. */
public fun manualClock(startMilliseconds: Long = 0): ManualClock {
    val reading = AtomicLong(startMilliseconds)
    return ManualClock(
        clock = ServiceClock(readMilliseconds = reading::get, readWallMilliseconds = reading::get),
        advance = { milliseconds -> reading.addAndGet(milliseconds) },
    )
}
