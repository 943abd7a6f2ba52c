/** Creates the gRPC server for other entry instances. */
package org.mulberrypin.service

import com.linecorp.armeria.server.Server
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.CrashReport
import org.mulberrypin.schema.generated.CrashReportAnswer
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
            explain = parts.explanations.handlePeer,
            reportCrash = { report, onOutcome -> onOutcome(handleCrashReport(parts, report)) },
            copyUsage = parts.billing.copyUsage,
            countEvents = parts.objectives.handlePeer,
        )
    val instance = context.settings.instance
    return Server
        .builder()
        .http(InetSocketAddress(instance.host, instance.peerPort))
        .requestTimeout(Duration.ZERO)
        .service(peerService(handlers))
        .build()
}

private fun handleCrashReport(
    parts: EntryParts,
    report: CrashReport,
): Outcome<CrashReportAnswer> {
    parts.requests.crashReported(report.contentSha256, report.backendServer)
    return Outcome.Success(CrashReportAnswer(known = true))
}
