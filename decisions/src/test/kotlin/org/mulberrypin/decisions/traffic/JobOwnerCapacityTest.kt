package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/**
 * Load pattern: 95 instances, two thirds of them with a quarter of the others' capacity, and jobs of many models, each
 * of which keeps a good part of a core busy at its owner.
 */
class JobOwnerCapacityTest {
    private val large = (1..30).map { LiveInstance("large-$it", 1, capacity = 150) }
    private val small = (1..65).map { LiveInstance("small-$it", 1, capacity = 36) }

    @Test
    fun `no model is run by a small instance while large ones live`() {
        val owners = ownersOf(large + small)
        expectThat(owners).all { get { capacity }.isEqualTo(150) }
        expectThat(owners.toSet().size).isGreaterThan(20)
    }

    @Test
    fun `small instances run models once no large one lives`() {
        expectThat(ownersOf(small).toSet().size).isGreaterThan(30)
    }

    @Test
    fun `the loss of one instance changes the owner of its models alone`() {
        val before = ownersOf(large + small)
        val lost = before.first()
        val after = ownersOf(large - lost + small)
        expectThat(before.indices.filter { before[it] != after[it] })
            .hasSize(before.count { it == lost })
    }

    private fun ownersOf(instances: List<LiveInstance>): List<LiveInstance> {
        val fixture = fixture()
        fixture.decide(TrafficEvent.LiveInstancesRead(instances))
        return (1..60).map { fixture.state.ownerOf(ownRecord(1).copy(model = "model-$it")) }
    }
}
