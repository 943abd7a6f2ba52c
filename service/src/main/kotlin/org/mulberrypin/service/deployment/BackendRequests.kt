/** Builds the requests to backend servers from the effects of the traffic decisions. */
package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.TrafficEffect
import org.mulberrypin.platform.deployment.BackendRequest
import org.mulberrypin.platform.deployment.IncomingCall
import org.mulberrypin.platform.deployment.decodeBody
import org.mulberrypin.platform.deployment.lengthHintOf
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.ScoringCall

/** Returns the expected number of output tokens of each task, by task identifier. */
internal fun lengthHints(submission: JobSubmission): Map<String, Long> =
    submission.tasks.associate { it.id to lengthHintOf(it) }

internal fun forwardedRequest(
    effect: TrafficEffect.Send,
    call: IncomingCall,
): BackendRequest =
    BackendRequest(
        address = effect.address,
        serverId = effect.server,
        id = call.id,
        method = call.method,
        host = call.host,
        path = call.path,
        headers = call.headers,
        body = call.body,
        team = effect.team,
        remainingMilliseconds = effect.remainingMilliseconds,
        serverStartedWallMilliseconds = effect.serverStartedWallMilliseconds,
        priority = effect.priority,
    )

internal fun scoringRequest(
    effect: TrafficEffect.Send,
    scoring: ScoringCall,
): BackendRequest =
    BackendRequest(
        address = effect.address,
        serverId = effect.server,
        id = scoring.id,
        method = "POST",
        host = scoring.host,
        path = scoring.path,
        headers = emptyList(),
        body = decodeBody(scoring.body),
        team = null,
        remainingMilliseconds = effect.remainingMilliseconds,
        serverStartedWallMilliseconds = effect.serverStartedWallMilliseconds,
        priority = effect.priority,
    )

internal fun taskRequest(effect: TrafficEffect.RunTask): BackendRequest =
    BackendRequest(
        address = effect.address,
        serverId = effect.server,
        id = effect.task.id,
        method = "POST",
        host = effect.host,
        path = effect.task.path,
        headers = effect.task.headers,
        body = decodeBody(effect.task.body),
        team = effect.team.ifEmpty { null },
        remainingMilliseconds = 0,
        lastEvent = effect.lastEvent,
        needsNewConnection = effect.needsNewConnection,
        serverStartedWallMilliseconds = effect.serverStartedWallMilliseconds,
        priority = effect.priority,
    )
