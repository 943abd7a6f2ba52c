package org.mulberrypin.decisions.requests

import org.mulberrypin.schema.generated.WeightSpan

/**
 * A request that waits or is under way.
 *
 * @property attempt number of the latest attempt; 0 before the first
 * @property server name of the backend server that runs it; empty while it waits
 * @property arrivedMilliseconds time of arrival
 * @property changedMilliseconds time at which it started to wait, was dispatched, or its latest part arrived
 * @property firstPartMilliseconds time from arrival to the first part; negative before it
 * @property spans weight versions of the tokens so far
 * @property ranBefore true when an attempt before the current one may have reached a backend server
 * @property avoided backend servers that failed this request
 */
public data class RequestEntry(
    val arrival: RequestArrival,
    val pool: String,
    val attempt: Int,
    val server: String,
    val arrivedMilliseconds: Long,
    val changedMilliseconds: Long,
    val firstPartMilliseconds: Long = NO_PART_YET,
    val spans: List<WeightSpan> = emptyList(),
    val ranBefore: Boolean = false,
    val avoided: Set<String> = emptySet(),
) {
    /** True while the request waits for a backend server. */
    val waits: Boolean
        get() = server.isEmpty()

    /** Tokens that were generated so far, over all attempts. */
    val generatedTokens: Long
        get() = spans.sumOf { it.tokens }

    internal companion object {
        internal const val NO_PART_YET = -1L
    }
}

/** The spans after [tokens] more tokens of [weightVersion]. */
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
