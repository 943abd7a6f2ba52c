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
 * Calls to other entry instances. Each call names the peer by its address as host:port and never blocks; [PeerCall]
 * hands the outcome to a function, which is called on a thread of the transport and must only offer to a ring.
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

/** Calls the peer at an address within a number of milliseconds and hands over the outcome. */
public typealias PeerCall<Request, Answer> = (
    address: String,
    timeoutMilliseconds: Long,
    request: Request,
    onOutcome: (Outcome<Answer>) -> Unit,
) -> Unit
