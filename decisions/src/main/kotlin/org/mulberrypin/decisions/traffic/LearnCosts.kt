/** Learns from complete requests and texts what requests cost, and compares the times with what was expected. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.work.expected
import org.mulberrypin.decisions.work.isKnown
import org.mulberrypin.decisions.work.learned
import org.mulberrypin.decisions.work.ran
import org.mulberrypin.decisions.work.total

/** Learns the run time of the route and the speed of the server from a request that [server] has answered. */
internal fun TrafficState.learnRun(
    request: ForwardedRequest,
    server: String,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val expected = request.expected?.total?.takeIf { it > 0 } ?: return Transition(this)
    val actual = (nowMilliseconds - request.sentMilliseconds).coerceAtLeast(1)
    val route = request.route
    val usual = runTimes.expected(route.name, route.objectiveMilliseconds, nowMilliseconds)
    val scaled = usual * actual / expected
    val learned = copy(
        runTimes = runTimes.learned(route.name, scaled, nowMilliseconds),
        poolRunTimes = poolRunTimes.learned(request.pool, scaled, nowMilliseconds),
    )
    // Until the route is known, the difference says nothing about the server.
    val next = if (runTimes.isKnown(route.name, nowMilliseconds)) {
        val updated = backends.updated(server) { it.copy(work = it.work.ran(expected, actual, nowMilliseconds)) }
        learned.copy(backends = updated)
    } else {
        learned
    }
    return Transition(
        next,
        listOf(TrafficEffect.MeasureForecast(ForecastKind.REQUEST, expected, actual.toDouble())),
    )
}

/** Learns the length of a complete text. */
internal fun TrafficState.learnText(
    job: RunningJob,
    task: TaskProgress,
    nowMilliseconds: Long,
): Transition<TrafficState, TrafficEffect> {
    val route = routing?.findRoute(job.record.host, task.task.path)?.name ?: return Transition(this)
    val lengths = textLengths.learned(route, task.lengthHint, task.lastEvent, nowMilliseconds)
    val actual = (nowMilliseconds - task.sentMilliseconds).toDouble()
    val measured = task.expected?.let { TrafficEffect.MeasureForecast(ForecastKind.TEXT, it.total, actual) }
    return Transition(copy(textLengths = lengths), listOfNotNull(measured) + measureMove(task, nowMilliseconds))
}

/** Compares what the last move of [task] has gained with what was expected; empty if it was not moved. */
internal fun measureMove(
    task: TaskProgress,
    nowMilliseconds: Long,
): List<TrafficEffect> {
    val move = task.move ?: return emptyList()
    val events = task.lastEvent - move.lastEvent
    val elapsed = nowMilliseconds - move.movedMilliseconds
    val gain = events * move.sourceMilliseconds - elapsed
    val inputs = "expectedGain=${move.gainMilliseconds.toLong()} gain=${gain.toLong()} events=$events " +
        "milliseconds=$elapsed"
    return listOf(
        TrafficEffect.RecordDecision(task.task.id, "move ended", task.server.orEmpty(), inputs),
        TrafficEffect.MeasureForecast(ForecastKind.MOVE_GAIN, move.gainMilliseconds, gain),
    )
}
