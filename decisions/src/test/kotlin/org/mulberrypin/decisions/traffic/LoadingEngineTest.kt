package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/**
 * Load pattern: a version is named, and the next step arrives while the first engines load it. They refuse tasks, and
 * by the time of the refusal the later tasks of the step have filled all other engines.
 */
class LoadingEngineTest {
    @Test
    fun `the first tasks of a step go to engines that do not load the version named just before`() {
        val fixture = fixture(engines = 4)
        fixture.decide(TrafficEvent.VersionsNamed(mapOf(MODEL to 2L)))
        val servers = fixture.startJob(8).map { it.server }
        expectThat(servers.toSet()).doesNotContain("engine-1", "engine-2")
    }

    @Test
    fun `engines that are expected to load are used once the others are full`() {
        val fixture = fixture(engines = 4)
        fixture.decide(TrafficEvent.VersionsNamed(mapOf(MODEL to 2L)))
        expectThat(
            fixture
                .startJob(24)
                .takeLast(8)
                .map { it.server }
                .toSet(),
        ).isEqualTo(setOf("engine-1", "engine-2"))
    }

    @Test
    fun `the next engines are expected to load once the first ones list the version`() {
        val fixture = fixture(engines = 4)
        fixture.decide(TrafficEvent.VersionsNamed(mapOf(MODEL to 2L)))
        val loaded = listOf(engine("engine-1", version = 2), engine("engine-2", version = 2))
        fixture.decide(TrafficEvent.BackendsChanged(loaded + engine("engine-3") + engine("engine-4")))
        expectThat(fixture.state.loadingServers).isEqualTo(setOf("engine-3", "engine-4"))
        fixture.decide(TrafficEvent.BackendsChanged((1..4).map { engine("engine-$it", version = 2) }))
        expectThat(fixture.state.loadingServers.firstOrNull()).isNull()
    }
}
