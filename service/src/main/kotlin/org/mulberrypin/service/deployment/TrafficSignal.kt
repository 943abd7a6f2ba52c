package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.platform.deployment.BackendAnswer
import org.mulberrypin.platform.deployment.CallerCall
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.JobRecord

/** What event loops hand to the traffic duty. */
internal sealed interface TrafficSignal {
    /** An event of the decision. */
    data class Told(
        val event: TrafficEvent,
    ) : TrafficSignal

    /** A caller's call arrived. */
    data class Called(
        val number: Long,
        val call: CallerCall,
    ) : TrafficSignal

    /** A backend server answered a request. */
    data class ServerAnswered(
        val request: Long,
        val attempt: Int,
        val answer: BackendAnswer,
    ) : TrafficSignal

    /** A caller's call about a job can go on: the job is known, or is known not to exist. */
    data class JobFound(
        val number: Long,
        val outcome: Outcome<StoredJob?>,
    ) : TrafficSignal

    /** Results of a job were read for a trainer. */
    data class ResultsRead(
        val number: Long,
        val outcome: Outcome<ResultPage>,
    ) : TrafficSignal

    /** The bytes of a submission were read for a caller that asks for the body of a task. */
    data class SubmissionRead(
        val number: Long,
        val outcome: Outcome<ByteArray>,
    ) : TrafficSignal

    /** The end of a job was written, or not. */
    data class EndWritten(
        val number: Long,
        val record: JobRecord,
        val outcome: Outcome<org.mulberrypin.platform.deployment.TransactionAnswer>,
    ) : TrafficSignal

    /** A job could not be stored. */
    data class SubmissionRefused(
        val number: Long,
        val job: String,
        val status: Int,
        val reason: String,
    ) : TrafficSignal
}
