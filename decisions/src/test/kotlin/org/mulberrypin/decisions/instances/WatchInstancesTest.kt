package org.mulberrypin.decisions.instances

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.InstanceHeartbeat
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

class WatchInstancesTest {
    private val present = setOf("entry-1")

    @Test
    fun `considers an instance gone after three reads without a new heartbeat`() {
        val tracker = read(HeartbeatTracker(), 0, heartbeat(1)).unchanged(500, 1_000)
        expectThat(tracker.liveInstances()).containsExactly(heartbeat(1))
        expectThat(tracker.unchanged(1_500).liveInstances()).isEmpty()
        expectThat(read(tracker, 1_500, heartbeat(2)).liveInstances()).containsExactly(heartbeat(2))
        expectThat(read(tracker.unchanged(1_500), 2_000, heartbeat(2)).liveInstances()).containsExactly(heartbeat(2))
    }

    @Test
    fun `considers a heartbeat that is read twice unchanged`() {
        val tracker = read(HeartbeatTracker(), 0, heartbeat(1))
        val repeated = listOf(500L, 1_000, 1_500).fold(tracker) { state, now -> read(state, now, heartbeat(1)) }
        expectThat(repeated.liveInstances()).isEmpty()
    }

    @Test
    fun `waits for three of the intervals that the heartbeat promises`() {
        val slow = heartbeat(1).copy(intervalMilliseconds = 4_000)
        val tracker = read(HeartbeatTracker(), 0, slow).unchanged(*(1_500L..10_500 step 1_500).toList().toLongArray())
        expectThat(tracker.liveInstances()).containsExactly(slow)
        expectThat(tracker.unchanged(12_000).liveInstances()).isEmpty()
    }

    @Test
    fun `counts little of the time in which the reader could not read`() {
        val watched = heartbeat(1).copy(intervalMilliseconds = 500)
        val tracker = read(HeartbeatTracker(), 0, watched).unchanged(500, 60_000)
        expectThat(tracker.liveInstances()).containsExactly(watched)
        val slow = heartbeat(1).copy(intervalMilliseconds = 4_000)
        val stalled = read(HeartbeatTracker(), 0, slow).unchanged(60_000, 120_000, 180_000)
        expectThat(stalled.liveInstances()).containsExactly(slow)
    }

    @Test
    fun `forgets an instance whose row is removed`() {
        val tracker = read(HeartbeatTracker(), 0, heartbeat(1)).withReading(emptyList(), emptySet(), 500)
        expectThat(tracker.observed.keys).isEmpty()
    }

    @Test
    fun `does not list an instance that is shutting down as live`() {
        val leaving = heartbeat(1).copy(leaving = true)
        expectThat(read(HeartbeatTracker(), 0, leaving).liveInstances()).isEmpty()
    }

    private fun read(
        tracker: HeartbeatTracker,
        nowMilliseconds: Long,
        changed: InstanceHeartbeat,
    ) = tracker.withReading(listOf(changed), present, nowMilliseconds)

    private fun HeartbeatTracker.unchanged(vararg timesMilliseconds: Long) =
        timesMilliseconds.fold(this) { tracker, now -> tracker.withReading(emptyList(), present, now) }

    private fun heartbeat(sequence: Long) = InstanceHeartbeat("entry-1", 1, "zone-a", sequence)
}
