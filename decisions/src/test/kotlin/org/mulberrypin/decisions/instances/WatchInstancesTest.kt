package org.mulberrypin.decisions.instances

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.InstanceHeartbeat
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class WatchInstancesTest {
    @Test
    fun `considers an instance gone after three reads without a new heartbeat`() {
        var tracker = HeartbeatTracker().withReading(listOf(heartbeat(1)))
        repeat(2) { tracker = tracker.withReading(listOf(heartbeat(1))) }
        expectThat(tracker.liveInstances()).containsExactly(heartbeat(1))
        expectThat(tracker.withReading(listOf(heartbeat(1))).liveInstances()).isEmpty()
        expectThat(tracker.withReading(listOf(heartbeat(2))).liveInstances()).containsExactly(heartbeat(2))
    }

    @Test
    fun `does not list an instance that is shutting down as live`() {
        val leaving = heartbeat(1).copy(leaving = true)
        expectThat(HeartbeatTracker().withReading(listOf(leaving)).liveInstances()).isEmpty()
    }

    private fun heartbeat(sequence: Long) = InstanceHeartbeat("entry-1", 1, "zone-a", sequence)

    @Test
    fun `limits the heartbeats of all instances together to a hundred per second`() {
        expectThat(heartbeatMilliseconds(1)).isEqualTo(500)
        listOf(12, 76, 650).forEach { instances ->
            expectThat(instances * 1_000.0 / heartbeatMilliseconds(instances)).isLessThanOrEqualTo(100.0)
        }
    }
}
