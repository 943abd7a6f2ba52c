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

    /** Names of the keyed writes that were sent. */
    val writes = LinkedHashSet<String>()

    fun run() {
        for (call in 0 until options.callsOfCaller) {
            if (clock.readMilliseconds() >= endMilliseconds) return
            onResult(makeCall(call))
            pause(options.pauseMilliseconds)
        }
    }

    private fun makeCall(call: Int): CallResult {
        val kind = kinds[(call + number) % kinds.size]
        val attempt = attemptOf(kind, call)
        val startMilliseconds = clock.readMilliseconds()
        val results = mutableListOf<AttemptResult>()
        while (results.size < options.attempts && results.lastOrNull() !is AttemptResult.Answered) {
            if (results.isNotEmpty()) pause(options.retryPauseMilliseconds)
            results += attempt(clients[turn++ % clients.size])
        }
        return callResult(kind, results, clock.readMilliseconds() - startMilliseconds)
    }

    private fun attemptOf(
        kind: CallKind,
        call: Int,
    ): (EntryClient) -> AttemptResult {
        val name = "load-${options.seed}-$number-$call"
        if (kind == CallKind.KEYED_WRITE) {
            writes += name
            return { client -> attemptWrite(client, options.plainRoute, name) }
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
    return if (options.plainRoute.isEmpty()) completions else completions + CallKind.KEYED_WRITE
}

private fun callResult(
    kind: CallKind,
    results: List<AttemptResult>,
    latencyMilliseconds: Long,
): CallResult {
    val answer = results.last() as? AttemptResult.Answered
    val refusals = results.filterIsInstance<AttemptResult.Refused>().map { it.run.ifEmpty { "unstated" } }
    return CallResult(
        kind = kind,
        check = answer?.check,
        latencyMilliseconds = latencyMilliseconds,
        firstPartMilliseconds = answer?.firstPartMilliseconds ?: 0,
        refusals = refusals.groupingBy { it }.eachCount().mapValues { it.value.toLong() },
        cuts = results.count { it is AttemptResult.Cut || it is AttemptResult.NotSent }.toLong(),
    )
}
