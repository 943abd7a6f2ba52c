package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.RequestKind
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against streams that fail although they may be repeated, and against those that run twice although not. */
class CutStreamRetriesTest {
    @Test
    fun `a cut stream that may be resumed is sent to another server`() {
        val fixture = streams(resumable = true)
        val first = fixture.singleEffect<TrafficEffect.Send>()
        fixture.decide(cutOf(first))
        val second = fixture.singleEffect<TrafficEffect.Send>()
        expectThat(second.server == first.server).isEqualTo(false)
        fixture.decide(cutOf(second))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).isEmpty()
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(HttpStatusCode.BAD_GATEWAY)
    }

    @Test
    fun `a cut stream that may not be resumed fails as one that may have run`() {
        val fixture = streams(resumable = false)
        fixture.decide(cutOf(fixture.singleEffect<TrafficEffect.Send>()))
        expectThat(fixture.effectsOf<TrafficEffect.Send>()).isEmpty()
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(HttpStatusCode.BAD_GATEWAY)
    }

    private fun streams(resumable: Boolean): TrafficFixture {
        val fixture = fixture()
        val listed = configuration(RequestKind.STREAM)
        val routes = listed.routes.map { it.copy(resumable = resumable) }
        fixture.decide(TrafficEvent.ConfigurationChanged(listed.copy(version = 2, routes = routes)))
        fixture.decide(arrival(1))
        return fixture
    }

    private fun cutOf(send: TrafficEffect.Send) =
        TrafficEvent.AttemptFailed(send.request, send.attempt, true, "the stream ended within an event", false)
}
