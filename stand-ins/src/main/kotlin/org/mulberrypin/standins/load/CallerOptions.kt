package org.mulberrypin.standins.load

/**
 * Options of a load test. The test ends when every caller has made all its calls or the duration is over, whichever
 * comes first.
 *
 * @property addresses entry instances as host:port; each caller uses them round-robin, as a load balancer does
 * @property key API key that callers send; empty for none
 * @property model model of the completions; empty to send no completions
 * @property plainRoute name of the plain service that receives writes; empty to send no writes
 * @property callers number of concurrent callers, each on its own thread
 * @property callsPerCaller maximum number of calls of each caller
 * @property durationMilliseconds time after which no call starts; calls in progress are still awaited
 * @property pauseMilliseconds pause of a caller between two of its calls
 * @property maxTokens maximum number of generated tokens per completion
 * @property attempts maximum number of attempts per call. Refused and unanswered calls are retried, writes with an
 * idempotency key under the same key; a write without a key is retried only if it was not run.
 * @property retryPauseMilliseconds pause between two attempts of a call
 * @property timeoutMilliseconds response timeout of one attempt
 * @property seed seed of the prompts; load tests with different seeds share no prompt
 */
public data class CallerOptions(
    val addresses: List<String>,
    val key: String = "",
    val model: String = "",
    val plainRoute: String = "",
    val callers: Int = 8,
    val callsPerCaller: Int = 50,
    val durationMilliseconds: Long = 30_000,
    val pauseMilliseconds: Long = 0,
    val maxTokens: Int = 32,
    val attempts: Int = 4,
    val retryPauseMilliseconds: Long = 250,
    val timeoutMilliseconds: Long = 60_000,
    val seed: Long = 1,
)
