/**
 * Row keys of attempt records. Each key starts with the time period in which the row was written. An attempt is checked
 * against the rows of the previous, the current and the next period, because the clocks of two instances may be on
 * different sides of a period boundary. A record is therefore effective for at least one period, provided that clocks
 * differ by less than a period, and rows that are three periods old can be deleted.
 */
package org.mulberrypin.decisions.attempts

/** Returns the keys under which an attempt may be recorded at [wallMilliseconds]; new records use the first. */
internal fun attemptKeys(
    name: String,
    wallMilliseconds: Long,
): List<String> {
    val period = periodOf(wallMilliseconds)
    return listOf(period, period - 1, period + 1).map { "${periodPrefix(it)}$name" }
}

/**
 * Returns a key prefix whose rows have expired at [wallMilliseconds]. [seed] selects one of the expired periods and of
 * the digest prefixes, so that each cleanup deletes a small part of the rows.
 */
internal fun expiredPrefix(
    wallMilliseconds: Long,
    seed: Long,
): String {
    val digestPrefix = Math.floorMod(seed, PREFIXES_PER_PERIOD).toString(radix = 16).padStart(2, '0')
    val age = MIN_EXPIRED_AGE_PERIODS + Math.floorMod(seed / PREFIXES_PER_PERIOD, EXPIRED_PERIODS)
    return periodPrefix(periodOf(wallMilliseconds) - age) + digestPrefix
}

private fun periodOf(wallMilliseconds: Long): Long = Math.floorDiv(wallMilliseconds, PERIOD_MILLISECONDS)

private fun periodPrefix(period: Long): String = "attempt/$period/"

/** Length of a period in milliseconds: twelve hours. */
public const val PERIOD_MILLISECONDS: Long = 43_200_000

/** Number of two-digit hexadecimal prefixes of the digest in a row key. */
private const val PREFIXES_PER_PERIOD = 256L

/** Age from which rows are deleted, in periods. */
private const val MIN_EXPIRED_AGE_PERIODS = 3L

/** Number of consecutive expired periods whose rows are deleted. */
private const val EXPIRED_PERIODS = 2L
