package org.mulberrypin.standins.load

/**
 * What the callers of a load run do. The run ends when every caller has made its calls or the time is over, whichever
 * comes first.
 *
 * @property addresses entry instances as host:port; a caller takes them in turn, as behind a balancer
 * @property key key that callers present; empty for none
 * @property model route of the completions; empty sends none
 * @property plainRoute route of a plain service for writes; empty sends none
 * @property callers callers at the same time, each with a thread of its own
 * @property callsOfCaller calls of each caller
 * @property durationMilliseconds longest time of the run; calls under way then are still awaited
 * @property pauseMilliseconds pause of a caller between two calls
 * @property maxTokens longest answer
 * @property attempts attempts at one call; a call is sent again after a refusal or a cut, a keyed write under its key,
 * and a write without a key only when it was not run
 * @property retryPauseMilliseconds pause between two attempts
 * @property timeoutMilliseconds longest wait for an answer
 * @property seed seed of the prompts; two runs with different seeds share no prompt
 */
public data class CallerOptions(
    val addresses: List<String>,
    val key: String = "",
    val model: String = "",
    val plainRoute: String = "",
    val callers: Int = 8,
    val callsOfCaller: Int = 50,
    val durationMilliseconds: Long = 30_000,
    val pauseMilliseconds: Long = 0,
    val maxTokens: Int = 32,
    val attempts: Int = 4,
    val retryPauseMilliseconds: Long = 250,
    val timeoutMilliseconds: Long = 60_000,
    val seed: Long = 1,
)
