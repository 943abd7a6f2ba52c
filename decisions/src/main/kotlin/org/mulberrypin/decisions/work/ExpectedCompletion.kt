/** Expected completion of a request at a server, as the sum of its parts; all parts are in milliseconds. */
package org.mulberrypin.decisions.work

import java.util.Locale

/**
 * @property wait time until a slot is free
 * @property reading time to read the part of the prompt that the server has not read
 * @property running time to run, or to generate what is left of a text
 * @property preference extra time of another failure domain and of a new connection, or what else speaks against it
 */
public data class ExpectedCompletion(
    val wait: Double = 0.0,
    val reading: Double = 0.0,
    val running: Double = 0.0,
    val preference: Double = 0.0,
)

/** Time until completion, in milliseconds. */
public val ExpectedCompletion.total: Double
    get() = wait + reading + running + preference

/** The parts in whole milliseconds, for the log. */
public fun ExpectedCompletion.describe(): String =
    String.format(
        Locale.ROOT,
        "expected=%.0f wait=%.0f reading=%.0f running=%.0f preference=%.0f",
        total,
        wait,
        reading,
        running,
        preference,
    )
