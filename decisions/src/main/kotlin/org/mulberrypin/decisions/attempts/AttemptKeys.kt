/**
 * The rows that hold records of attempts. The key of a row starts with the period in which it was written. An attempt
 * is checked against the rows of the period before, its own and the next one, since the clocks of two instances may lie
 * on either side of a boundary. A record is therefore honoured for at least one period, as long as clocks differ by
 * less than a period, and rows from three periods ago are forgotten.
 */
package org.mulberrypin.decisions.attempts

/** The rows in which an attempt may be recorded at [wallMilliseconds]; it is written to the first. */
internal fun attemptKeys(
    name: String,
    wallMilliseconds: Long,
): List<String> {
    val period = periodOf(wallMilliseconds)
    return listOf(period, period - 1, period + 1).map { "${periodPrefix(it)}$name" }
}

/** The start of the keys of some rows that may be forgotten at [wallMilliseconds]; [seed] chooses which. */
internal fun forgettablePrefix(
    wallMilliseconds: Long,
    seed: Long,
): String {
    val part = Math.floorMod(seed, PARTS).toString(radix = 16).padStart(2, '0')
    val old = FIRST_FORGOTTEN_PERIOD + Math.floorMod(seed / PARTS, FORGOTTEN_PERIODS)
    return periodPrefix(periodOf(wallMilliseconds) - old) + part
}

private fun periodOf(wallMilliseconds: Long): Long = Math.floorDiv(wallMilliseconds, PERIOD_MILLISECONDS)

private fun periodPrefix(period: Long): String = "attempt/$period/"

/** Length of a period: twelve hours. */
public const val PERIOD_MILLISECONDS: Long = 43_200_000

private const val PARTS = 256L
private const val FIRST_FORGOTTEN_PERIOD = 3L
private const val FORGOTTEN_PERIODS = 2L
