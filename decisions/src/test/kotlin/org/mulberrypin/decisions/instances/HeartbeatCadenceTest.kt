package org.mulberrypin.decisions.instances

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.traffic.LiveInstance
import org.mulberrypin.schema.generated.InstanceHeartbeat
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class HeartbeatCadenceTest {
    private val models = setOf("", "advisor", "sorter")

    @Test
    fun `load pattern - many instances and few owners - watched instances stay within a hundred heartbeats a second`() {
        expectThat(watchedCadence(2).writeMilliseconds).isEqualTo(500)
        listOf(12, 76, 650).forEach { watched ->
            expectThat(watched * 1_000.0 / watchedCadence(watched).writeMilliseconds).isLessThanOrEqualTo(100.0)
        }
    }

    @Test
    fun `load pattern - many instances and few owners - all together stay within a hundred heartbeats a second`() {
        listOf(12, 76, 300, 650, 1_000).forEach { instances ->
            val watched = models.size * LIKELY_OWNERS
            val watchedRate = watched * 1_000.0 / watchedCadence(watched).writeMilliseconds
            val otherRate = (instances - watched) * 1_000.0 / unwatchedCadence(instances, 1_500).writeMilliseconds
            expectThat(watchedRate + otherRate).isLessThanOrEqualTo(100.0)
        }
    }

    @Test
    fun `load pattern - many instances and few owners - calls per instance fall with the number of instances`() {
        val calls = listOf(12, 30, 82, 300, 650).map { instances ->
            val cadence = unwatchedCadence(instances, 1_500)
            1_000.0 / cadence.writeMilliseconds + 1_000.0 / cadence.readMilliseconds
        }
        expectThat(calls.zipWithNext().all { (fewer, more) -> more <= fewer }).isTrue()
        expectThat(calls[2]).isLessThanOrEqualTo(1.0)
    }

    @Test
    fun `load pattern - many instances and few owners - two large instances are watched for each model`() {
        listOf(12, 82, 650).forEach { count ->
            val instances = (1..count).map { LiveInstance("entry-$it", 1, if (it % 4 == 0) 150 else 27) }
            val watched = instances.filter { isLikelyOwner(it.name, models, instances) }
            expectThat(watched.size).isLessThanOrEqualTo(models.size * LIKELY_OWNERS)
            expectThat(watched.all { it.capacity == 150 }).isTrue()
            expectThat(isLikelyOwner("entry-1", models, instances)).isFalse()
            expectThat(isLikelyOwner("unlisted", models, instances)).isTrue()
        }
    }

    @Test
    fun `load pattern - an owner dies at any size - a watched instance notices within two seconds`() {
        val cadence = watchedCadence(models.size * LIKELY_OWNERS)
        (0L until cadence.readMilliseconds).forEach { phase ->
            var tracker = HeartbeatTracker()
            var now = phase
            val last = InstanceHeartbeat("owner", 1, sequence = 1, intervalMilliseconds = cadence.writeMilliseconds)
            tracker = tracker.withReading(listOf(last), setOf("owner"), now)
            while (tracker.liveInstances().isNotEmpty()) {
                now += cadence.readMilliseconds
                tracker = tracker.withReading(emptyList(), setOf("owner"), now)
            }
            expectThat(now).isLessThanOrEqualTo(2_000L)
        }
    }
}
