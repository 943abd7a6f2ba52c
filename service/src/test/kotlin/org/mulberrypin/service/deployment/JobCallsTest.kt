/** What trainers are told when the end of their job could not be written. */
package org.mulberrypin.service.deployment

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.traffic.TrafficState
import org.mulberrypin.platform.deployment.BackendCalls
import org.mulberrypin.platform.deployment.CallerReply
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.manualClock
import org.mulberrypin.schema.generated.JobRecord
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class JobCallsTest {
    private val manual = manualClock(startMilliseconds = 500_000)
    private val log = startDecisionLog("entry-1", manual.clock)

    @Test
    fun `says when to come back if the end never reached the store`() {
        expectThat(replyTo(FaultKind.NOT_RUN)).isA<CallerReply.Own>().and {
            get { status }.isEqualTo(503)
            get { retryMilliseconds }.isNotNull()
        }
    }

    @Test
    fun `does not call an end refused that may have been written`() {
        expectThat(replyTo(FaultKind.UNKNOWN)).isA<CallerReply.Own>().and {
            get { status }.isEqualTo(504)
            get { retryMilliseconds }.isNull()
        }
    }

    private fun replyTo(kind: FaultKind): CallerReply {
        val replies = ArrayList<CallerReply>()
        val store = FakeRowStore(emptyList()).store
        val ports = TrafficPorts(store, noCalls, {}, manual.clock, log, trafficCounters(SimpleMeterRegistry()))
        val state = TrafficState(InstanceIdentity("entry-1", 1, "zone-a"))
        val calls = JobCalls(JobStore(store, log), ports, { state }, {}, { _, reply -> replies.add(reply) })
        val lost = Outcome.Failure(Fault("end the job", "store", kind, "test"))
        calls.acceptEnd(TrafficSignal.EndWritten(1, JobRecord(id = "job"), lost), call = null)
        return expectThat(replies).get { single() }.subject
    }

    private companion object {
        private val noCalls = BackendCalls({ _, _ -> {} }, { _, _ -> {} }, { _, _, _ -> }, { _, _ -> }, { _, _ -> })
    }
}
