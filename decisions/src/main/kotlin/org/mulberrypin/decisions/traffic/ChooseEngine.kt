/** Decides which engine runs a task. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.work.Choice
import org.mulberrypin.decisions.work.ExpectedCompletion
import org.mulberrypin.decisions.work.chooseNearlyBest
import org.mulberrypin.decisions.work.crowding
import org.mulberrypin.decisions.work.expectedPresent
import org.mulberrypin.decisions.work.expectedWait
import org.mulberrypin.decisions.work.preferenceMilliseconds
import org.mulberrypin.schema.generated.ServingRoute

/**
 * Selects an engine with suitable weights and a free slot, at which the text is expected to be complete first. An
 * engine that has read the group's prompt need not read it again.
 */
internal fun TrafficState.chooseEngine(
    job: RunningJob,
    route: ServingRoute,
    task: TaskProgress,
    nowMilliseconds: Long,
): Choice<Backend>? {
    val free = enginesFor(task, availableEngines(job, route, task, nowMilliseconds), nowMilliseconds)
    // An engine that loads weights refuses tasks, so all other engines are filled first.
    val available = free.filter { it.entry.id !in loadingServers }.ifEmpty { free }
    if (available.isEmpty()) return null
    val groupServers = job.tasks.values
        .filter { it.task.group == task.task.group && it.task.id != task.task.id }
        .mapNotNullTo(HashSet()) { it.server }
    val pace = poolPace(available, nowMilliseconds)
    val events = expectedRemainingEvents(job, task).toDouble()
    val choices = available.map { engine ->
        val unread = unreadTokens(task, engine.entry.id in groupServers)
        Choice(engine, expectedText(engine, events, unread, pace, nowMilliseconds))
    }
    val seed = stableHash(0, task.task.group)
    return chooseNearlyBest(choices) { stableHash(seed, it.entry.id) }
}

/** Expected completion of a text with [events] further events at [engine], which has to read [unread] tokens first. */
internal fun TrafficState.expectedText(
    engine: Backend,
    events: Double,
    unread: Double,
    poolMilliseconds: Double,
    nowMilliseconds: Long,
): ExpectedCompletion {
    val candidate = candidateOf(engine)
    val present = expectedPresent(candidate, poolOthers = 0.0, nowMilliseconds)
    val pace = engine.expectedPace(events, poolMilliseconds, nowMilliseconds)
    val running = events * pace * crowding(present, candidate.slots)
    return ExpectedCompletion(
        wait = expectedWait(present, candidate.slots, running),
        // The texts that the engine generates pause while it reads.
        reading = unread / TOKENS_READ_PER_MILLISECOND * (1 + present),
        running = running,
        preference = preferenceMilliseconds(candidate, nowMilliseconds),
    )
}

/** Tokens that an engine has to read before it can go on with [task]: the prompt and the text so far. */
internal fun unreadTokens(
    task: TaskProgress,
    hasReadShared: Boolean,
): Double {
    val prompt = task.task.promptTokens.takeIf { it in PROMPT_TOKENS } ?: UNKNOWN_PROMPT_TOKENS
    val shared = task.task.sharedPromptTokens.takeIf { it in 1..prompt } ?: (prompt * UNKNOWN_SHARED_PERCENT / PERCENT)
    return (prompt + task.lastEvent - if (hasReadShared) shared else 0).toDouble()
}

/** Engines that could run a task now. */
internal fun TrafficState.availableEngines(
    job: RunningJob,
    route: ServingRoute,
    task: TaskProgress,
    nowMilliseconds: Long,
): List<Backend> {
    val pools = route.pools.mapTo(HashSet()) { it.pool }
    val model = job.submission.model
    return backends.values.filter { backend ->
        backend.entry.pool in pools && isUsable(backend, nowMilliseconds) &&
            backend.versionOf(model) >= job.submission.minimumVersion &&
            matchesVersion(route, task, backend.versionOf(model)) &&
            backend.inFlight < backend.entry.slots && !backend.isIsolated &&
            backend.avoidedUntilMilliseconds <= nowMilliseconds
    }
}

private fun matchesVersion(
    route: ServingRoute,
    task: TaskProgress,
    version: Long,
): Boolean = !route.singleWeightVersion || task.versions.all { it == version }

/** Tokens of a prompt that an engine reads in a millisecond beside the texts that it generates. */
private const val TOKENS_READ_PER_MILLISECOND = 10.0

/** Prompt tokens that can be meant. */
private val PROMPT_TOKENS = 1L..10_000_000L

/** Prompt tokens of a task that does not state them. */
private const val UNKNOWN_PROMPT_TOKENS = 250L

/** Share of the prompt that a group has in common if its tasks do not state it. */
private const val UNKNOWN_SHARED_PERCENT = 90
private const val PERCENT = 100
