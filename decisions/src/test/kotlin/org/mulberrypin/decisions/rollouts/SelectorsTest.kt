package org.mulberrypin.decisions.rollouts

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@DisplayName("Strategies that choose groups and instances")
class SelectorsTest {
    private val groups = listOf(
        GroupCandidate("kerbrat/sorter", expectedTokens = 100, sequence = 0),
        GroupCandidate("kerbrat/sorter", expectedTokens = 900, sequence = 1),
        GroupCandidate("kartenhaus/sequencer", expectedTokens = 50, sequence = 2),
    )

    @Test
    fun `longest first chooses the longest group of the trainer with the fewest samples in flight`() {
        expectThat(longestFirst(groups, mapOf("kartenhaus/sequencer" to 8))).isEqualTo(1)
        expectThat(longestFirst(groups, mapOf("kerbrat/sorter" to 8))).isEqualTo(2)
        expectThat(firstComeFirstServed(groups, mapOf("kerbrat/sorter" to 8))).isEqualTo(0)
    }

    @Test
    fun `earliest completion chooses a fast instance for a long group and an idle instance for a short one`() {
        val instances = listOf(InstanceCandidate(16, 20.0), InstanceCandidate(0, 60.0))
        expectThat(earliestCompletion(instances, 10_000, 1_000)).isEqualTo(0)
        expectThat(earliestCompletion(instances, 100, 1_000)).isEqualTo(1)
        expectThat(leastLoaded(instances, 10_000, 1_000)).isEqualTo(1)
    }
}
