package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.work.ExpectedCompletion
import org.mulberrypin.schema.generated.ServingRoute

/** Originator of a request, which receives the response. */
public sealed interface Origin {
    /** A client of this instance. */
    public data object Caller : Origin

    /** A task of a batch job whose output is being scored. */
    public data class Scoring(
        val job: String,
        val task: String,
    ) : Origin
}

/**
 * A request that is being forwarded to a backend server.
 *
 * @property request number of the request, unique within this process
 * @property id request identifier supplied by the client
 * @property attempt number of the current or last attempt, starting at 1; 0 before the first
 * @property server backend server of the current attempt; null while none is assigned
 * @property tried backend servers that the request was sent to
 * @property mayHaveRun true once an attempt may have started to run
 * @property isCounted true once the request has been counted in the usage of its team
 * @property errors number of responses with status 500
 * @property content digest by which crashes are counted; empty for a scoring call
 * @property crashes consecutive attempts of a scoring call, over all its requests, whose connections were lost
 * @property sentMilliseconds time at which the current attempt was sent
 * @property isReturning true if the caller comes back after a refusal
 * @property expected expected completion of the current attempt, counted from [sentMilliseconds]
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
    val content: String = "",
    val crashes: Int = 0,
    val sentMilliseconds: Long = 0,
    val isReturning: Boolean = false,
    val expected: ExpectedCompletion? = null,
)
