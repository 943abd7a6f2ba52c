package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.TaskEvent
import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.platform.deployment.StreamListener
import org.mulberrypin.runtime.FaultKind

/** Hands the parts of a task's stream to the traffic duty; the functions run on an event loop. */
internal fun taskListener(
    job: String,
    task: String,
    attempt: Int,
    tell: (TrafficEvent) -> Unit,
): StreamListener =
    StreamListener(
        onHead = { answer, version ->
            tell(TrafficEvent.TaskAnswered(job, task, attempt, answer.status, answer.notRun, version))
        },
        onEvents = { events ->
            val parts = events.map { TaskEvent(it.id, it.data, it.version) }
            tell(TrafficEvent.TaskEventsArrived(job, task, attempt, parts))
        },
        onEnd = { tell(TrafficEvent.TaskEnded(job, task, attempt)) },
        onBroken = { fault ->
            val sent = fault.kind != FaultKind.NOT_RUN
            tell(TrafficEvent.TaskBroke(job, task, attempt, sent, fault.toString()))
        },
    )
