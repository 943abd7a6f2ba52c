/** Lets a backend server that returns take a growing part of its slots, so that not all turn to it at once. */
package org.mulberrypin.decisions.cold

/**
 * Requests and tasks that this instance may have in flight at a server with [slots] that returned [elapsedMilliseconds]
 * ago: one at first, then a part of the slots that grows evenly until it has all of them.
 */
public fun slowStartLimit(
    slots: Int,
    elapsedMilliseconds: Long,
): Int =
    when {
        elapsedMilliseconds >= SLOW_START_MILLISECONDS -> Int.MAX_VALUE
        else -> (slots * elapsedMilliseconds / SLOW_START_MILLISECONDS).toInt().coerceAtLeast(1)
    }

/** Time until a server that returned takes its whole share, in milliseconds; that of a few tasks. */
public const val SLOW_START_MILLISECONDS: Long = 3_000L
