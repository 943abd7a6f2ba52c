package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.WeightSpan

/**
 * An admitted request that is queued or in flight.
 *
 * @property attempt number of the latest attempt; 0 before the first
 * @property server name of the backend server that runs it; empty while it is queued
 * @property arrivedMilliseconds time of arrival, by the clock of this process
 * @property lastActivityMilliseconds time at which it was queued, was dispatched, or received its latest chunk
 * @property firstChunkMilliseconds time from arrival to the first chunk; negative before the first chunk
 * @property spans tokens generated so far, grouped by consecutive weight version, over all attempts
 * @property earlierAttemptMayHaveRun true when an attempt before the current one may have reached a backend server
 * @property failedServers names of the backend servers on which earlier attempts failed
 */
public data class RequestEntry(
    val arrival: RequestArrival,
    val pool: String,
    val attempt: Int,
    val server: String,
    val arrivedMilliseconds: Long,
    val lastActivityMilliseconds: Long,
    val firstChunkMilliseconds: Long = NO_CHUNK_YET,
    val spans: List<WeightSpan> = emptyList(),
    val earlierAttemptMayHaveRun: Boolean = false,
    val failedServers: Set<String> = emptySet(),
) {
    /** True while the request is queued for a backend server. */
    val isWaiting: Boolean
        get() = server.isEmpty()

    /** Number of tokens generated so far, over all attempts. */
    val generatedTokens: Long
        get() = spans.sumOf { it.tokens }

    internal companion object {
        internal const val NO_CHUNK_YET = -1L
    }
}

/** Appends [tokens] tokens of [weightVersion], merging them into the last span if it has the same version. */
internal fun List<WeightSpan>.extendedBy(
    weightVersion: Long,
    tokens: Long,
): List<WeightSpan> {
    val last = lastOrNull()
    return when {
        tokens == 0L -> this
        last?.weightVersion == weightVersion -> dropLast(1) + last.copy(tokens = last.tokens + tokens)
        else -> this + WeightSpan(weightVersion, tokens)
    }
}
