package org.mulberrypin.runtime

import java.util.concurrent.atomic.AtomicLong

/**
 * A clock for tests that stands still until it is told to advance.
 *
 * @property clock the clock to hand to the code under test
 * @property advance moves the clock forward by a number of milliseconds
 */
public data class ManualClock(
    val clock: ServiceClock,
    val advance: (Long) -> Unit,
)

/** Creates a manual clock that starts at [startMilliseconds]. */
public fun manualClock(startMilliseconds: Long = 0): ManualClock {
    val reading = AtomicLong(startMilliseconds)
    return ManualClock(
        clock = ServiceClock(readMilliseconds = reading::get, readWallMilliseconds = reading::get),
        advance = { milliseconds -> reading.addAndGet(milliseconds) },
    )
}
