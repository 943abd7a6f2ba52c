package org.mulberrypin.benchmarks.rollouts

import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.decisions.rollouts.RunnerEffect
import org.mulberrypin.schema.generated.WeightSpan

/** The engines of one instance: slots that generate at a fixed speed, and a queue of waiting requests. */
internal class SimulatedEngines(
    private val clock: SimulatedClock,
    private val slots: Int,
    private val tokensPerSecond: Long,
    private val lengths: SampleLengths,
    private val versionOf: (route: String) -> Long,
    private val onReply: (request: Long, reply: RequestReply) -> Unit,
) {
    private class Generation(
        val effect: RunnerEffect.Submit,
        val length: Long,
        var tokens: Long = 0,
        var spans: List<WeightSpan> = emptyList(),
    )

    private val running = mutableMapOf<Long, Generation>()
    private val waiting = ArrayDeque<Generation>()

    /** Tokens generated so far, including those of dropped samples. */
    var tokensGenerated = 0L
        private set

    /** Queues the request of a sample and starts it as soon as a slot is free. */
    fun submit(effect: RunnerEffect.Submit) {
        val length = lengths.draw(effect.content.prompt, effect.arrival.requestId)
        waiting.addLast(Generation(effect, length))
        startWaiting()
    }

    /** Removes a waiting or running request. */
    fun cancel(request: Long) {
        running.remove(request)
        waiting.removeAll { it.effect.arrival.request == request }
        startWaiting()
    }

    private fun startWaiting() {
        while (running.size < slots && waiting.isNotEmpty()) {
            val generation = waiting.removeFirst()
            running[generation.effect.arrival.request] = generation
            generatePart(generation)
        }
    }

    private fun generatePart(generation: Generation) {
        val tokens = minOf(PART_TOKENS, generation.length - generation.tokens)
        clock.schedule(tokens * MILLISECONDS_PER_SECOND / tokensPerSecond) {
            if (running[generation.effect.arrival.request] === generation) {
                completePart(generation, tokens)
            }
        }
    }

    private fun completePart(
        generation: Generation,
        tokens: Long,
    ) {
        val arrival = generation.effect.arrival
        val version = versionOf(arrival.route)
        val last = generation.spans.lastOrNull()
        tokensGenerated += tokens
        generation.tokens += tokens
        generation.spans = if (last?.weightVersion == version) {
            generation.spans.dropLast(1) + last.copy(tokens = last.tokens + tokens)
        } else {
            generation.spans + WeightSpan(version, tokens)
        }
        onReply(arrival.request, RequestReply.Chunk("", tokens.toInt(), version))
        if (generation.tokens < generation.length) {
            generatePart(generation)
        } else {
            running.remove(arrival.request)
            onReply(arrival.request, RequestReply.Finished("stop", 1, generation.spans, "engine"))
            startWaiting()
        }
    }

    private companion object {
        const val PART_TOKENS = 500L
        const val MILLISECONDS_PER_SECOND = 1000L
    }
}
