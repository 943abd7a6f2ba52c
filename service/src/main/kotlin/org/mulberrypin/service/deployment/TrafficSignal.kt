package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.platform.deployment.BackendResponse
import org.mulberrypin.platform.deployment.IncomingCall
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.JobRecord

/** A signal that event loops queue for the traffic duty; call numbers identify calls of the front end. */
internal sealed interface TrafficSignal {
    /** An event for the traffic decision. */
    data class Told(
        val event: TrafficEvent,
    ) : TrafficSignal

    /** A call arrived at the front end. */
    data class Called(
        val callNumber: Long,
        val call: IncomingCall,
    ) : TrafficSignal

    /** A backend server responded to a request. */
    data class ServerAnswered(
        val request: Long,
        val attempt: Int,
        val response: BackendResponse,
    ) : TrafficSignal

    /** The lookup of a job for a caller ended; the outcome is null when the job does not exist. */
    data class JobFound(
        val callNumber: Long,
        val outcome: Outcome<StoredJob?>,
    ) : TrafficSignal

    /** The read of results for a trainer ended. */
    data class ResultsRead(
        val callNumber: Long,
        val outcome: Outcome<ResultPage>,
    ) : TrafficSignal

    /** The read of a submission object ended; a caller requested the body of one of its tasks. */
    data class SubmissionRead(
        val callNumber: Long,
        val outcome: Outcome<ByteArray>,
    ) : TrafficSignal

    /** The write of a job's end finished or failed. */
    data class EndWritten(
        val callNumber: Long,
        val record: JobRecord,
        val outcome: Outcome<org.mulberrypin.platform.deployment.TransactionResult>,
    ) : TrafficSignal

    /** A submitted job was not stored, or may not have been; [status] is the HTTP status of the response. */
    data class SubmissionRefused(
        val callNumber: Long,
        val job: String,
        val status: Int,
        val reason: String,
    ) : TrafficSignal
}
