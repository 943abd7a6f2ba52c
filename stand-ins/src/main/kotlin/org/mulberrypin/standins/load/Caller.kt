/** One caller of a load test, which makes its calls sequentially and reports each result to a callback. */
package org.mulberrypin.standins.load

import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.CompletionRequest

/**
 * @param number index of the caller within its load test
 * @param endMilliseconds clock time after which no further call starts
 * @param onResult receives the result of each call
 */
internal class Caller(
    private val options: CallerOptions,
    private val number: Int,
    private val clock: ServiceClock,
    private val endMilliseconds: Long,
    private val onResult: (CallResult) -> Unit,
) {
    private val clients = options.addresses.map { EntryClient(it, options.key, options.timeoutMilliseconds) }
    private val kinds = callKinds(options)
    private var nextClientIndex = number

    fun run() {
        for (call in 0 until options.callsPerCaller) {
            if (clock.readMilliseconds() >= endMilliseconds) return
            onResult(makeCall(call))
            pause(options.pauseMilliseconds)
        }
    }

    private fun makeCall(call: Int): CallResult {
        val kind = kinds[(call + number) % kinds.size]
        val name = "load-${options.seed}-$number-$call"
        val attempt = attemptFor(kind, call, name)
        val startMilliseconds = clock.readMilliseconds()
        val results = mutableListOf(attempt(nextClient()))
        while (results.size < options.attempts && mayRetry(kind, results.last())) {
            pause(options.retryPauseMilliseconds)
            results += attempt(nextClient())
        }
        return callResult(name, kind, results, clock.readMilliseconds() - startMilliseconds)
    }

    private fun nextClient(): EntryClient = clients[nextClientIndex++ % clients.size]

    private fun attemptFor(
        kind: CallKind,
        call: Int,
        name: String,
    ): (EntryClient) -> AttemptResult {
        if (kind == CallKind.WRITE || kind == CallKind.KEYED_WRITE) {
            return { client -> attemptWrite(client, options.plainRoute, name, isKeyed = kind == CallKind.KEYED_WRITE) }
        }
        val request = CompletionRequest(
            model = options.model,
            prompt = "Call $name: which blanks are left?",
            maxTokens = options.maxTokens,
            seed = options.seed + call,
            stream = kind == CallKind.STREAMED,
        )
        return { client -> attemptCompletion(client, request, name, clock) }
    }

    private fun pause(milliseconds: Long) {
        if (milliseconds > 0) Thread.sleep(milliseconds)
    }
}

private fun callKinds(options: CallerOptions): List<CallKind> {
    val completions = if (options.model.isEmpty()) emptyList() else listOf(CallKind.INTERACTIVE, CallKind.STREAMED)
    return if (options.plainRoute.isEmpty()) completions else completions + CallKind.WRITE + CallKind.KEYED_WRITE
}

private fun mayRetry(
    kind: CallKind,
    result: AttemptResult,
): Boolean =
    when (result) {
        is AttemptResult.Answered -> false
        else -> kind != CallKind.WRITE || result.executionStatus() == NOT_RUN
    }

private fun callResult(
    name: String,
    kind: CallKind,
    results: List<AttemptResult>,
    latencyMilliseconds: Long,
): CallResult {
    val refusals = results.filterIsInstance<AttemptResult.Refused>().groupingBy { it.executionStatus() }.eachCount()
    return CallResult(
        name = name,
        kind = kind,
        ending = callEnding(results),
        latencyMilliseconds = latencyMilliseconds,
        executionStatus = combinedExecutionStatus(results),
        refusals = refusals.mapValues { it.value.toLong() },
        unansweredAttempts = results.count { it is AttemptResult.NoResponse || it is AttemptResult.NotSent }.toLong(),
    )
}
