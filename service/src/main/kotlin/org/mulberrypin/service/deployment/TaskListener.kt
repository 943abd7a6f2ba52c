package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.TaskEvent
import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.platform.deployment.StreamListener
import org.mulberrypin.runtime.FaultKind

/** Creates a listener that converts a task's stream into traffic events; its functions run on an event loop. */
internal fun taskListener(
    job: String,
    task: String,
    attempt: Int,
    onEvent: (TrafficEvent) -> Unit,
): StreamListener =
    StreamListener(
        onHeaders = { response, version ->
            val load = response.load?.let(::loadReport)
            onEvent(
                TrafficEvent.TaskResponseReceived(job, task, attempt, response.status, response.notRun, version, load),
            )
        },
        onEvents = { events ->
            val parts = events.map { TaskEvent(it.id, it.data, it.version) }
            onEvent(TrafficEvent.TaskEventsArrived(job, task, attempt, parts))
        },
        onEnd = { onEvent(TrafficEvent.TaskEnded(job, task, attempt)) },
        onFailure = { fault ->
            val sent = fault.kind != FaultKind.NOT_RUN
            val isLost = fault.kind == FaultKind.CONNECTION_LOST
            onEvent(TrafficEvent.TaskAttemptFailed(job, task, attempt, sent, fault.toString(), isLost))
        },
    )
