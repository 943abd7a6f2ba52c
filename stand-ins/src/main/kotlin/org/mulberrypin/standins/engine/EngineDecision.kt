/**
 * The engine stand-in as a pure function of its state, an event and the time. Answers in slots advance together, one
 * token each in every token interval; a swap of weights stops all of them and continues them under the new version.
 */
package org.mulberrypin.standins.engine

import org.mulberrypin.schema.generated.EngineOrderAnswer
import org.mulberrypin.schema.generated.EngineWeightOrder
import org.mulberrypin.standins.text.generatedSpan

/**
 * @property state the state after the event
 * @property effects what clients are told, in this order
 */
internal data class EngineChange(
    val state: EngineState,
    val effects: List<EngineEffect> = emptyList(),
)

/**
 * @property state the state after the order
 * @property answer what the sender of the order is told
 */
internal data class WeightOrderChange(
    val state: EngineState,
    val answer: EngineOrderAnswer,
)

/** Takes a task in, unless too many wait. */
internal fun EngineState.submit(
    task: EngineTask,
    options: EngineStandInOptions,
): EngineChange =
    if (waiting.size >= options.waitingLimit) {
        EngineChange(this, listOf(EngineEffect.Refuse(task.task)))
    } else {
        EngineChange(copy(waiting = waiting.add(task)))
    }

/** Forgets a task whose client has gone. */
internal fun EngineState.cancel(task: Long): EngineState =
    copy(running = running.remove(task), waiting = waiting.removeAll { it.task == task })

/** Generates what is due by [nowMilliseconds], then starts waiting tasks in free slots. */
internal fun EngineState.advance(
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): EngineChange {
    val settled = endSwap(nowMilliseconds)
    if (settled.swap != null) return EngineChange(settled)
    val generated = settled.generate(options, nowMilliseconds)
    val started = generated.state.start(options, nowMilliseconds)
    return EngineChange(started.state, generated.effects + started.effects)
}

/** Carries out [order] unless its fencing number is old; answers at once, while the swap takes its time. */
internal fun EngineState.order(
    order: EngineWeightOrder,
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): WeightOrderChange {
    if (options.fencing && order.fencingNumber < fencingNumber) {
        val reason = "Found fencing number ${order.fencingNumber}, expected $fencingNumber or higher."
        return WeightOrderChange(this, EngineOrderAnswer(reason = reason, weightVersion = weightVersion))
    }
    val fenced = copy(fencingNumber = maxOf(fencingNumber, order.fencingNumber))
    val answer = EngineOrderAnswer(accepted = true, weightVersion = weightVersion)
    val target = swap?.version ?: weightVersion
    if (order.version == target) return WeightOrderChange(fenced, answer)
    val started = swap?.startedMilliseconds ?: nowMilliseconds
    val next = WeightSwap(order.version, started, nowMilliseconds + options.swapMilliseconds)
    return WeightOrderChange(fenced.copy(swap = next), answer)
}

private fun EngineState.endSwap(nowMilliseconds: Long): EngineState {
    val ending = swap?.takeIf { it.endsMilliseconds <= nowMilliseconds } ?: return this
    val pause = ending.endsMilliseconds - ending.startedMilliseconds
    val delayed = running.values.fold(running) { answers, answer ->
        answers.put(answer.task.task, answer.copy(dueMilliseconds = answer.dueMilliseconds + pause))
    }
    val failed = failingSwaps > 0
    return copy(
        running = delayed,
        swap = null,
        weightVersion = if (failed) weightVersion else ending.version,
        failingSwaps = (failingSwaps - 1).coerceAtLeast(0),
    )
}

private fun EngineState.generate(
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): EngineChange =
    running.values.fold(EngineChange(this)) { change, answer ->
        val tokens = tokensDue(answer, options, nowMilliseconds)
        if (tokens == null) change else change.emit(answer, tokens, options)
    }

/** Tokens of [answer] that are due, or null when it is not its turn; a whole answer that was resumed is due with 0. */
private fun tokensDue(
    answer: RunningAnswer,
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): Int? {
    val late = nowMilliseconds - answer.dueMilliseconds
    val left = answer.task.endPosition - answer.position
    return if (late < 0) null else minOf(left.toLong(), late / options.tokenMilliseconds + 1).toInt()
}

private fun EngineChange.emit(
    answer: RunningAnswer,
    tokens: Int,
    options: EngineStandInOptions,
): EngineChange {
    val task = answer.task
    val end = answer.position + tokens
    val text = generatedSpan(task.digest, task.seed, answer.position, end)
    val part = EngineEffect.Part(task.task, text, tokens, state.weightVersion)
    val parts = if (tokens > 0) effects + part else effects
    return if (end < task.endPosition) {
        val due = answer.dueMilliseconds + tokens * options.tokenMilliseconds
        EngineChange(state.put(answer.copy(position = end, dueMilliseconds = due)), parts)
    } else {
        val finished = state.copy(running = state.running.remove(task.task))
        EngineChange(finished, parts + EngineEffect.Finish(task, state.weightVersion))
    }
}

private fun EngineState.start(
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): EngineChange {
    val free = (options.slots - running.size).coerceAtLeast(0)
    val chosen = waiting.sortedWith(compareBy({ it.priority }, { it.task })).take(free)
    if (chosen.any { options.poisonText.isNotEmpty() && options.poisonText in it.prompt }) {
        return EngineChange(this, listOf(EngineEffect.Crash))
    }
    return EngineChange(chosen.fold(this) { state, task -> state.occupySlot(task, options, nowMilliseconds) })
}

private fun EngineState.occupySlot(
    task: EngineTask,
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): EngineState {
    val use = cache.use(task.prompt, options.cacheBlocks)
    val uncached = (task.promptTokens + task.firstPosition - use.cachedTokens).coerceAtLeast(0)
    val prefill = uncached * options.prefillMicrosecondsPerToken / MICROSECONDS_PER_MILLISECOND
    val due = nowMilliseconds + prefill + options.tokenMilliseconds
    return copy(waiting = waiting.remove(task), cache = use.cache).put(RunningAnswer(task, task.firstPosition, due))
}

private fun EngineState.put(answer: RunningAnswer): EngineState =
    copy(running = running.put(answer.task.task, answer))

private const val MICROSECONDS_PER_MILLISECOND = 1_000
