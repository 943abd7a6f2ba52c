/** The gRPC server for other entry instances. */
package org.mulberrypin.service

import com.linecorp.armeria.server.Server
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.CrashReport
import org.mulberrypin.schema.generated.CrashReportAnswer
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.schema.generated.UsageCopyAnswer
import org.mulberrypin.service.peers.PeerHandlers
import org.mulberrypin.service.peers.peerService
import java.net.InetSocketAddress
import java.time.Duration

internal fun peerServer(
    context: EntryContext,
    parts: EntryParts,
): Server {
    val handlers =
        PeerHandlers(
            announce = parts.configuration.handleAnnounce,
            runGroup = parts.rollouts.handleRunGroup,
            nextBatch = parts.rollouts.handleNextBatch,
            explain = { _, onOutcome -> onOutcome(Outcome.Success(ExplanationAnswer())) },
            reportCrash = { report, onOutcome -> onOutcome(noteCrash(parts, report)) },
            countEvents = { _, onOutcome -> onOutcome(notCounted(context)) },
            copyUsage = { _, onOutcome -> onOutcome(Outcome.Success(UsageCopyAnswer())) },
        )
    val instance = context.settings.instance
    return Server
        .builder()
        .http(InetSocketAddress(instance.host, instance.peerPort))
        .requestTimeout(Duration.ZERO)
        .service(peerService(handlers))
        .build()
}

private fun noteCrash(
    parts: EntryParts,
    report: CrashReport,
): Outcome<CrashReportAnswer> {
    parts.requests.crashReported(report.contentSha256, report.backendServer)
    return Outcome.Success(CrashReportAnswer(known = true))
}

private fun notCounted(context: EntryContext): Outcome.Failure =
    Outcome.Failure(
        Fault("count events", context.settings.instance.name, FaultKind.NOT_RUN, "This instance counts no events."),
    )
