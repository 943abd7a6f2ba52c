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
 * Handlers for requests from peers. A handler is called on a transport thread and must only offer to a ring; it passes
 * its outcome to the callback later, from any thread.
 */
public data class PeerHandlers(
    val announce: PeerHandler<VersionAnnouncement, VersionConfirmation>,
    val runGroup: PeerHandler<GroupAssignment, GroupResult>,
    val nextBatch: PeerHandler<BatchRequest, BatchAnswer>,
    val explain: PeerHandler<ExplanationQuestion, ExplanationAnswer>,
    val reportCrash: PeerHandler<CrashReport, CrashReportAnswer>,
    val copyUsage: PeerHandler<UsageCheckpoint, UsageCopyAnswer>,
    val countEvents: PeerHandler<BurnQuestion, BurnAnswer>,
)

/** Handles a request from a peer and passes the outcome to a callback. */
public typealias PeerHandler<Request, Response> = (request: Request, onOutcome: (Outcome<Response>) -> Unit) -> Unit
