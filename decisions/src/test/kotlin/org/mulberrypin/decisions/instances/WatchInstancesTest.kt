package org.mulberrypin.decisions.instances

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.InstanceHeartbeat
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

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
}
