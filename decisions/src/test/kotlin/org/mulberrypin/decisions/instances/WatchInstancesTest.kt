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
    fun `counts an instance as gone after three readings without a heartbeat`() {
        var watch = InstanceWatch().read(listOf(heartbeat(1)))
        repeat(2) { watch = watch.read(listOf(heartbeat(1))) }
        expectThat(watch.liveInstances()).containsExactly(heartbeat(1))
        expectThat(watch.read(listOf(heartbeat(1))).liveInstances()).isEmpty()
        expectThat(watch.read(listOf(heartbeat(2))).liveInstances()).containsExactly(heartbeat(2))
    }

    @Test
    fun `counts an instance that is leaving as gone`() {
        val leaving = heartbeat(1).copy(leaving = true)
        expectThat(InstanceWatch().read(listOf(leaving)).liveInstances()).isEmpty()
    }

    private fun heartbeat(sequence: Long) = InstanceHeartbeat("entry-1", 1, "zone-a", sequence)

    @Test
    fun `lets all instances together write a hundred heartbeats a second at most`() {
        expectThat(heartbeatMilliseconds(1)).isEqualTo(500)
        listOf(12, 76, 650).forEach { instances ->
            expectThat(instances * 1_000.0 / heartbeatMilliseconds(instances)).isLessThanOrEqualTo(100.0)
        }
    }
}
