package org.mulberrypin.decisions.traffic

/**
 * A caller that was told to come back.
 *
 * @property refusedMilliseconds time of the refusal
 * @property returnMilliseconds time from which the caller may come back
 */
public data class RefusedCaller(
    val pool: String,
    val refusedMilliseconds: Long,
    val returnMilliseconds: Long,
)

/** Whether the caller is no longer expected. */
internal fun RefusedCaller.isOutdated(nowMilliseconds: Long): Boolean =
    nowMilliseconds - refusedMilliseconds > REFUSED_CALLER_EXPIRY_MILLISECONDS

/** Time for which a refused caller is expected, in milliseconds. */
private const val REFUSED_CALLER_EXPIRY_MILLISECONDS = 10_000L
