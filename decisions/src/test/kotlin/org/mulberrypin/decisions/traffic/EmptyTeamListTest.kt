package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.RequestKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

/** Guards against a configuration that takes the last team away and lets requests with any key run. */
class EmptyTeamListTest {
    private val withoutTeams = configuration(RequestKind.IDEMPOTENT).copy(version = 2, teams = emptyList())

    @Test
    fun `a request with a key is refused when the list of teams is empty`() {
        val fixture = fixture()
        fixture.decide(TrafficEvent.ConfigurationChanged(withoutTeams.copy(requiresKeys = true)))
        fixture.decide(arrival(1))
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(401)
    }

    @Test
    fun `a request is sent when there is no list of teams`() {
        val fixture = fixture()
        fixture.decide(TrafficEvent.ConfigurationChanged(withoutTeams))
        fixture.decide(arrival(1))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).hasSize(1)
    }
}
