/** Replies to callers when the write of a job's end fails, or when the configuration is older than the job. */
package org.mulberrypin.service.deployment

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.traffic.StoredJob
import org.mulberrypin.decisions.traffic.TrafficState
import org.mulberrypin.decisions.traffic.routingTableOf
import org.mulberrypin.platform.deployment.BackendCalls
import org.mulberrypin.platform.deployment.CallReply
import org.mulberrypin.platform.deployment.CallTarget
import org.mulberrypin.platform.deployment.IncomingCall
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.manualClock
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.ServingConfiguration
import org.mulberrypin.schema.generated.ServingTeam
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class JobCallsTest {
    private val testClock = manualClock(startMilliseconds = 500_000)
    private val log = startDecisionLog("entry-1", testClock.clock)

    @Test
    fun `an end that never reached the store is answered with 503 and a retry delay`() {
        expectThat(replyTo(FaultKind.NOT_RUN)).isA<CallReply.Local>().and {
            get { status }.isEqualTo(503)
            get { retryMilliseconds }.isNotNull()
        }
    }

    @Test
    fun `an end that may have been written is answered with 504 and no retry delay`() {
        expectThat(replyTo(FaultKind.UNKNOWN)).isA<CallReply.Local>().and {
            get { status }.isEqualTo(504)
            get { retryMilliseconds }.isNull()
        }
    }

    /** Guards against denying a job, for good, to the key of a team that only a newer configuration has. */
    @Test
    fun `a key that only the configuration of the job may know is answered with 503`() {
        expectThat(replyUnder(acceptedUnder = 2)).isA<CallReply.Local>().get { status }.isEqualTo(503)
        expectThat(replyUnder(acceptedUnder = 1)).isA<CallReply.Local>().get { status }.isEqualTo(401)
    }

    private fun replyUnder(acceptedUnder: Long): CallReply {
        val configuration = ServingConfiguration(version = 1, teams = listOf(ServingTeam("team", listOf("key"))))
        val record = JobRecord(id = "job", team = "other", configurationVersion = acceptedUnder)
        val state = TrafficState(
            InstanceIdentity("entry-1", 1, "zone-a"),
            routing = routingTableOf(configuration),
            storedJobs = persistentMapOf("job" to StoredJob(record, 5)),
        )
        val replies = ArrayList<CallReply>()
        val target = CallTarget.Results("job", 0, 0)
        val call = IncomingCall("id", "GET", "host", "/", "unknown", null, emptyList(), ByteArray(0), target) {}
        jobCalls(state, replies).startCall(1, call)
        return expectThat(replies).get { single() }.subject
    }

    private fun replyTo(kind: FaultKind): CallReply {
        val replies = ArrayList<CallReply>()
        val calls = jobCalls(TrafficState(InstanceIdentity("entry-1", 1, "zone-a")), replies)
        val failure = Outcome.Failure(Fault("end the job", "store", kind, "test"))
        calls.handleEndWritten(TrafficSignal.EndWritten(1, JobRecord(id = "job"), failure), call = null)
        return expectThat(replies).get { single() }.subject
    }

    private fun jobCalls(
        state: TrafficState,
        replies: MutableList<CallReply>,
    ): JobCalls {
        val store = FakeRowStore(emptyList()).store
        val ports =
            TrafficPorts(
                store,
                unusedBackendCalls,
                {},
                testClock.clock,
                log,
                trafficCounters(SimpleMeterRegistry()),
                {},
                {},
            )
        return JobCalls(JobStore(store, log), ports, { state }, {}, { _, reply -> replies.add(reply) })
    }

    private companion object {
        private val unusedBackendCalls =
            BackendCalls({ _, _ -> {} }, { _, _ -> {} }, { _, _, _ -> }, { _, _ -> }, { _, _ -> }, { _, _ -> })
    }
}
