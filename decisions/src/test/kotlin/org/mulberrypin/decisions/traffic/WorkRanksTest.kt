package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.ServingConfiguration
import org.mulberrypin.schema.generated.ServingRoute
import org.mulberrypin.schema.generated.ServingTeam
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Load: routes and teams of different urgency on the same servers; any priorities that a configuration may hold. */
class WorkRanksTest {
    @Test
    fun `priorities from 0 to 9 are told to servers as they are`() {
        expectThat(prioritiesOf(0, 2, 9)).isEqualTo(mapOf(0 to 0, 2 to 2, 9 to 9))
    }

    @Test
    fun `negative and huge priorities keep their order`() {
        expectThat(prioritiesOf(Int.MAX_VALUE, -7, Int.MIN_VALUE, 5))
            .isEqualTo(mapOf(Int.MIN_VALUE to 0, -7 to 1, 5 to 2, Int.MAX_VALUE to 3))
        expectThat(prioritiesOf(*(10..33).toList().toIntArray()).values.toList()).isEqualTo(
            (0..23).map { it * 9 / 23 },
        )
    }

    @Test
    fun `servers are told nothing while all priorities are the same or missing`() {
        expectThat(prioritiesOf(4, 4)).isEmpty()
        val fixture = fixture()
        fixture.decide(arrival(1))
        expectThat(fixture.singleEffect<TrafficEffect.Send>().priority).isNull()
    }

    @Test
    fun `requests and scoring calls state the priority of their team, or of their route without one`() {
        val fixture = fixture()
        val stated = configuration(RequestKind.IDEMPOTENT).let { configuration ->
            configuration.copy(
                routes = configuration.routes.map { it.copy(priority = if (it.name == "scores") 7 else 5) },
                teams = listOf(ServingTeam(TEAM, listOf(KEY), priority = 1)),
            )
        }
        fixture.decide(TrafficEvent.ConfigurationChanged(stated))
        fixture.decide(arrival(1))
        expectThat(fixture.singleEffect<TrafficEffect.Send>().priority).isEqualTo(1)
        val run = fixture.startJob(1).single()
        expectThat(run.priority).isEqualTo(1)
        fixture.deliverEvents(run)
        fixture.decide(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
        expectThat(fixture.singleEffect<TrafficEffect.Send>().priority).isEqualTo(7)
    }

    private fun prioritiesOf(vararg priorities: Int): Map<Int, Int> =
        serverPrioritiesOf(
            ServingConfiguration(
                routes = priorities.drop(1).map { ServingRoute(priority = it) },
                teams = listOf(ServingTeam("team", priority = priorities.first()), ServingTeam("other")),
            ),
        )
}
