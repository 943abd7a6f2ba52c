package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.RequestKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/**
 * Guards against giving up, or running by outdated rules, the tasks of a job that was accepted under a configuration
 * which its owner has not read yet.
 */
class NewerConfigurationTest {
    private val newer = configuration(RequestKind.IDEMPOTENT).copy(version = 2)

    @Test
    fun `waits for the configuration of a job whose route it does not know`() {
        val fixture = ownerWithout("sort")
        store(fixture, acceptedUnder = 2)
        expectThat(fixture.effectsOf<TrafficEffect.WriteResults>()).isEmpty()
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.WriteResults>()).isEmpty()
        fixture.decide(TrafficEvent.ConfigurationChanged(newer))
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).hasSize(2)
    }

    @Test
    fun `sends no task by the route that an older configuration has for its path`() {
        val fixture = fixture()
        store(fixture, acceptedUnder = 2)
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).isEmpty()
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).isEmpty()
    }

    @Test
    fun `lets no task expire by an older configuration`() {
        val fixture = fixture()
        store(fixture, acceptedUnder = 2)
        fixture.nowMilliseconds += 60_000
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.WriteResults>()).isEmpty()
    }

    @Test
    fun `starts no scoring call by an older configuration`() {
        val fixture = fixture()
        val run = fixture.startJob(1).single()
        fixture.deliverEvents(run)
        val job = fixture.state.jobs.getValue(run.job)
        val newerJob = job.copy(record = job.record.copy(configurationVersion = 2))
        fixture.state = fixture.state.copy(jobs = fixture.state.jobs.put(run.job, newerJob))
        fixture.decide(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).isEmpty()
        fixture.decide(TrafficEvent.ConfigurationChanged(newer))
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).hasSize(1)
    }

    @Test
    fun `gives up the tasks of a route that a newer configuration no longer has`() {
        val fixture = ownerWithout("sort")
        store(fixture, acceptedUnder = 1)
        expectThat(fixture.singleEffect<TrafficEffect.WriteResults>().batch.results).hasSize(1)
    }

    @Test
    fun `states in the row of a job which configuration accepted it`() {
        val fixture = fixture()
        fixture.decide(TrafficEvent.ConfigurationChanged(newer))
        fixture.decide(TrafficEvent.JobSubmitted(7, ownRecord(2), submission(2), emptyMap()))
        expectThat(fixture.singleEffect<TrafficEffect.StoreJob>().record.configurationVersion).isEqualTo(2)
    }

    private fun ownerWithout(route: String): TrafficFixture {
        val fixture = fixture()
        val known = configuration(RequestKind.IDEMPOTENT)
        val reduced = known.copy(routes = known.routes.filter { it.name != route })
        fixture.decide(TrafficEvent.ConfigurationChanged(reduced))
        return fixture
    }

    private fun store(
        fixture: TrafficFixture,
        acceptedUnder: Long,
    ) {
        val record = ownRecord(2).copy(configurationVersion = acceptedUnder)
        fixture.decide(TrafficEvent.JobLoaded(record, 10, submission(2), emptyMap(), emptyList()))
    }
}
