/**
 * The state transitions of the engine stand-in, as pure functions of state, event and time. All running answers advance
 * by one token per token interval; a weight swap pauses them and resumes them with the new version.
 */
package org.mulberrypin.standins.engine

import org.mulberrypin.schema.generated.EngineOrderAnswer
import org.mulberrypin.schema.generated.EngineWeightOrder
import org.mulberrypin.standins.text.generatedSpan

/**
 * @property state the state after the event
 * @property effects effects to execute, in this order
 */
internal data class EngineTransition(
    val state: EngineState,
    val effects: List<EngineEffect> = emptyList(),
)

/**
 * @property state the state after the order
 * @property answer the response to the sender of the order
 */
internal data class WeightOrderTransition(
    val state: EngineState,
    val answer: EngineOrderAnswer,
)

/** Adds [task] to the queue, or refuses it if the queue is full. */
internal fun EngineState.submit(
    task: EngineTask,
    options: EngineStandInOptions,
): EngineTransition =
    if (waiting.size >= options.waitingLimit) {
        EngineTransition(this, listOf(EngineEffect.Refuse(task.task)))
    } else {
        EngineTransition(copy(waiting = waiting.add(task)))
    }

/** Removes a task whose client has disconnected. */
internal fun EngineState.cancel(task: Long): EngineState =
    copy(running = running.remove(task), waiting = waiting.removeAll { it.task == task })

/** Generates the tokens due by [nowMilliseconds], then starts waiting tasks in free slots. */
internal fun EngineState.advance(
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): EngineTransition {
    val current = endSwap(nowMilliseconds)
    if (current.swap != null) return EngineTransition(current)
    val generated = current.generate(options, nowMilliseconds)
    val started = generated.state.startTasks(options, nowMilliseconds)
    return EngineTransition(started.state, generated.effects + started.effects)
}

/**
 * Starts a swap to the weight version of [order], in place of any swap in progress, unless the fencing number of the
 * order is outdated. Responds before the swap has finished.
 */
internal fun EngineState.order(
    order: EngineWeightOrder,
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): WeightOrderTransition {
    if (options.fencing && order.fencingNumber < fencingNumber) {
        val reason = "The weight order has fencing number ${order.fencingNumber}, expected $fencingNumber or higher."
        return WeightOrderTransition(this, EngineOrderAnswer(reason = reason, weightVersion = weightVersion))
    }
    val fenced = copy(fencingNumber = maxOf(fencingNumber, order.fencingNumber))
    val answer = EngineOrderAnswer(accepted = true, weightVersion = weightVersion)
    val target = swap?.version ?: weightVersion
    if (order.version == target) return WeightOrderTransition(fenced, answer)
    val startedMilliseconds = swap?.startedMilliseconds ?: nowMilliseconds
    val next = WeightSwap(order.version, startedMilliseconds, nowMilliseconds + options.swapMilliseconds)
    return WeightOrderTransition(fenced.copy(swap = next), answer)
}

private fun EngineState.endSwap(nowMilliseconds: Long): EngineState {
    val ended = swap?.takeIf { it.endsMilliseconds <= nowMilliseconds } ?: return this
    val pauseMilliseconds = ended.endsMilliseconds - ended.startedMilliseconds
    val delayed = running.values.fold(running) { answers, answer ->
        answers.put(answer.task.task, answer.copy(dueMilliseconds = answer.dueMilliseconds + pauseMilliseconds))
    }
    val hasFailed = failingSwaps > 0
    return copy(
        running = delayed,
        swap = null,
        weightVersion = if (hasFailed) weightVersion else ended.version,
        failingSwaps = (failingSwaps - 1).coerceAtLeast(0),
    )
}

private fun EngineState.generate(
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): EngineTransition =
    running.values.fold(EngineTransition(this)) { transition, answer ->
        val tokens = tokensDue(answer, options, nowMilliseconds)
        if (tokens == null) transition else transition.emit(answer, tokens, options)
    }

/** Number of tokens that are due, null before the due time, and 0 if the resumed answer was already complete. */
private fun tokensDue(
    answer: RunningAnswer,
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): Int? {
    val overdueMs = nowMilliseconds - answer.dueMilliseconds
    val remaining = answer.task.endPosition - answer.position
    return if (overdueMs < 0) null else minOf(remaining.toLong(), overdueMs / options.tokenMilliseconds + 1).toInt()
}

private fun EngineTransition.emit(
    answer: RunningAnswer,
    tokens: Int,
    options: EngineStandInOptions,
): EngineTransition {
    val task = answer.task
    val end = answer.position + tokens
    val text = generatedSpan(task.digest, task.seed, answer.position, end)
    val part = EngineEffect.Part(task.task, text, tokens, state.weightVersion)
    val parts = if (tokens > 0) effects + part else effects
    return if (end < task.endPosition) {
        val dueMilliseconds = answer.dueMilliseconds + tokens * options.tokenMilliseconds
        EngineTransition(state.put(answer.copy(position = end, dueMilliseconds = dueMilliseconds)), parts)
    } else {
        val finished = state.copy(running = state.running.remove(task.task))
        EngineTransition(finished, parts + EngineEffect.Finish(task, state.weightVersion))
    }
}

private fun EngineState.startTasks(
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): EngineTransition {
    val freeSlots = (options.slots - running.size).coerceAtLeast(0)
    val nextTasks = waiting.sortedWith(compareBy({ it.priority }, { it.task })).take(freeSlots)
    if (nextTasks.any { options.poisonText.isNotEmpty() && options.poisonText in it.prompt }) {
        return EngineTransition(this, listOf(EngineEffect.Crash))
    }
    return EngineTransition(nextTasks.fold(this) { state, task -> state.occupySlot(task, options, nowMilliseconds) })
}

private fun EngineState.occupySlot(
    task: EngineTask,
    options: EngineStandInOptions,
    nowMilliseconds: Long,
): EngineState {
    val lookup = cache.lookUpAndStore(task.prompt, options.cacheBlocks)
    val uncached = (task.promptTokens + task.firstPosition - lookup.cachedTokens).coerceAtLeast(0)
    val prefillMilliseconds = uncached * options.prefillMicrosecondsPerToken / MICROSECONDS_PER_MILLISECOND
    val dueMilliseconds = nowMilliseconds + prefillMilliseconds + options.tokenMilliseconds
    return copy(waiting = waiting.remove(task), cache = lookup.cache)
        .put(RunningAnswer(task, task.firstPosition, dueMilliseconds))
}

private fun EngineState.put(answer: RunningAnswer): EngineState =
    copy(running = running.put(answer.task.task, answer))

private const val MICROSECONDS_PER_MILLISECOND = 1_000
