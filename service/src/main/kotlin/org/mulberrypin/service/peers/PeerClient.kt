package org.mulberrypin.service.peers

import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnQuestion
import org.mulberrypin.schema.generated.CrashReport
import org.mulberrypin.schema.generated.CrashReportAnswer
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.schema.generated.ExplanationQuestion
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageCopyAnswer
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation

/**
 * Client for other entry instances. Peers are addressed as host:port. The calls never block; the callback of a
 * [PeerCall] receives the outcome on a transport thread and must only offer to a ring.
 */
public data class PeerClient(
    val announce: PeerCall<VersionAnnouncement, VersionConfirmation>,
    val runGroup: PeerCall<GroupAssignment, GroupResult>,
    val nextBatch: PeerCall<BatchRequest, BatchAnswer>,
    val explain: PeerCall<ExplanationQuestion, ExplanationAnswer>,
    val reportCrash: PeerCall<CrashReport, CrashReportAnswer>,
    val copyUsage: PeerCall<UsageCheckpoint, UsageCopyAnswer>,
    val countEvents: PeerCall<BurnQuestion, BurnAnswer>,
)

/** Calls the peer at an address as host:port, with a timeout in milliseconds, and passes the outcome to a callback. */
public typealias PeerCall<Request, Response> = (
    address: String,
    timeoutMilliseconds: Long,
    request: Request,
    onOutcome: (Outcome<Response>) -> Unit,
) -> Unit
