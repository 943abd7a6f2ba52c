/** One caller of a load run: it makes its calls one after another and hands each result to a function. */
package org.mulberrypin.standins.load

import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.CompletionRequest

/**
 * @param number number of the caller within its run
 * @param endMilliseconds time after which no further call is made
 * @param onResult takes the result of each call
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
    private var turn = number

    fun run() {
        for (call in 0 until options.callsOfCaller) {
            if (clock.readMilliseconds() >= endMilliseconds) return
            onResult(makeCall(call))
            pause(options.pauseMilliseconds)
        }
    }

    private fun makeCall(call: Int): CallResult {
        val kind = kinds[(call + number) % kinds.size]
        val name = "load-${options.seed}-$number-$call"
        val attempt = attemptOf(kind, call, name)
        val startMilliseconds = clock.readMilliseconds()
        val results = mutableListOf(attempt(nextClient()))
        while (results.size < options.attempts && mayRepeat(kind, results.last())) {
            pause(options.retryPauseMilliseconds)
            results += attempt(nextClient())
        }
        return callResult(name, kind, results, clock.readMilliseconds() - startMilliseconds)
    }

    private fun nextClient(): EntryClient = clients[turn++ % clients.size]

    private fun attemptOf(
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

private fun mayRepeat(
    kind: CallKind,
    result: AttemptResult,
): Boolean =
    when (result) {
        is AttemptResult.Answered -> false
        else -> kind != CallKind.WRITE || result.run() == NOT_RUN
    }

private fun callResult(
    name: String,
    kind: CallKind,
    results: List<AttemptResult>,
    latencyMilliseconds: Long,
): CallResult {
    val refusals = results.filterIsInstance<AttemptResult.Refused>().groupingBy { it.run() }.eachCount()
    return CallResult(
        name = name,
        kind = kind,
        ending = callEnding(results),
        latencyMilliseconds = latencyMilliseconds,
        run = runOf(results),
        refusals = refusals.mapValues { it.value.toLong() },
        cuts = results.count { it is AttemptResult.Cut || it is AttemptResult.NotSent }.toLong(),
    )
}
