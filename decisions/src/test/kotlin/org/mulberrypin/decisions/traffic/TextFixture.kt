/** Feeds steps of texts to the traffic decisions. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.work.TextLengths
import org.mulberrypin.decisions.work.learned

/** Learns a text of [events] events on the route of the tasks, which have no hint. */
internal fun TextLengths.learnedAt(events: Long): TextLengths = learned("sort", 0, events, 1_000)

internal fun TrafficFixture.deliver(
    run: TrafficEffect.RunTask,
    event: Long,
) = decide(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(TaskEvent(event, "e", null))))

internal fun TrafficFixture.end(run: TrafficEffect.RunTask) =
    decide(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))

/** Runs a step of 16 tasks with 20 events, those at the engine [slow] at a third of the pace of the others. */
internal fun TrafficFixture.runStep(slow: String) {
    val runs = startJob(16)
    repeat(60) { step ->
        nowMilliseconds += 35
        runs.filter { it.server != slow && step < 20 }.forEach { deliver(it, step + 1L) }
        if (step % 3 == 2) runs.filter { it.server == slow }.forEach { deliver(it, step / 3 + 1L) }
    }
    runs.forEach { end(it) }
}

/** Starts another job whose prompts share [sharedTokens] tokens by group, and returns the tasks that it dispatches. */
internal fun TrafficFixture.startNext(
    tasks: Int,
    sharedTokens: Long = 0,
    job: String = "next",
): List<TrafficEffect.RunTask> {
    val prompted = submission(tasks).tasks.map {
        it.copy(id = "$job-${it.id}", promptTokens = sharedTokens + 16, sharedPromptTokens = sharedTokens)
    }
    val record = ownRecord(tasks).copy(id = job)
    decide(TrafficEvent.JobStored(8, record, 10, submission(tasks).copy(tasks = prompted), emptyMap()))
    return effectsOf()
}
