package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.ServingRoute

/** Who waits for the answer of a request. */
public sealed interface Origin {
    /** A caller. */
    public data object Caller : Origin

    /** A task of a batch job whose text is being scored. */
    public data class Scoring(
        val job: String,
        val task: String,
    ) : Origin
}

/**
 * A request that is being forwarded.
 *
 * @property request number of the request at this instance
 * @property id identifier that the caller gave to the request
 * @property attempt number of the current or last attempt, from 1 on
 * @property server backend server of the current attempt; null while the request waits for one
 * @property tried backend servers that have had the request
 * @property mayHaveRun true once an attempt may have begun to run
 * @property isCounted true once the request is counted as usage of its team
 * @property errors answers of status 500
 */
public data class ForwardedRequest(
    val request: Long,
    val id: String,
    val origin: Origin,
    val route: ServingRoute,
    val pool: String,
    val team: String?,
    val arrivedMilliseconds: Long,
    val deadlineMilliseconds: Long,
    val attempt: Int = 0,
    val server: String? = null,
    val attemptDeadlineMilliseconds: Long = 0,
    val tried: Set<String> = emptySet(),
    val mayHaveRun: Boolean = false,
    val isCounted: Boolean = false,
    val errors: Int = 0,
)
