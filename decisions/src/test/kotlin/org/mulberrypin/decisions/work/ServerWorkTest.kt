package org.mulberrypin.decisions.work

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** Load pattern: servers whose load and slowness change several times a second, and reports of any age. */
class ServerWorkTest {
    @Test
    fun `trusts a report less with age and then expects the usual load`() {
        val usual = (1..100).fold(ServerWork()) { work, _ -> work.reported(LoadReport(4, 0, 6), 0, 0) }
        val idle = usual.reported(LoadReport(0, 0, 6, slownessPercent = 300), 0, 1_000).observed!!
        expectThat(idle.expectedOthers(2.0, 1_000)).isLessThan(0.1)
        expectThat(idle.expectedOthers(2.0, 1_700)).isIn(1.5..3.0)
        expectThat(idle.expectedOthers(2.0, 4_000)).isIn(3.0..4.0)
        expectThat(idle.expectedOthers(2.0, 60_000)).isIn(1.9..2.1)
        expectThat(idle.expectedSlowness(10.0, 1_000)).isGreaterThan(2.8)
        expectThat(idle.expectedSlowness(10.0, 5_000)).isLessThan(1.3)
    }

    @Test
    fun `expects a slow time to end during long work`() {
        val usual = (1..20).fold(ServerWork()) { work, _ -> work.reported(LoadReport(0, 0, 6), 0, 0) }
        val slow = usual.reported(LoadReport(0, 0, 6, 250), 0, 1_000).observed!!
        expectThat(slow.expectedSlowness(20.0, 1_000)).isGreaterThan(2.3)
        expectThat(slow.expectedSlowness(5_000.0, 1_000)).isLessThan(1.3)
    }

    @Test
    fun `does not count own requests in flight among those of others`() {
        val work = ServerWork().reported(LoadReport(5, 1, 6), ownInFlight = 4, nowMilliseconds = 0)
        expectThat(work.observed?.others).isEqualTo(2.0)
    }

    @Test
    fun `takes a server that refuses for full, and one that takes long for slow, whatever they report`() {
        val lying = ServerWork().reported(LoadReport(0, 0, 6, slownessPercent = 10), 0, 0)
        expectThat(lying.refused(6, 0, 0).observed?.others).isEqualTo(6.0)
        val slow = (1..20).fold(lying) { work, _ -> work.ran(expectedMilliseconds = 20.0, 60, 0) }
        expectThat(expectedPace(slow, 20.0, 0)).isGreaterThan(1.5)
        expectThat(slow.expectedSpeed(60_000)).isLessThan(1.1)
    }

    @Test
    fun `knows how many connections are likely open`() {
        val used = ServerWork()
            .sent(0)
            .sent(0)
            .answered(10)
            .answered(20)
        expectThat(used.sent(30).isWarm(30)).isTrue()
        expectThat(used.sent(30).sent(30).isWarm(30)).isFalse()
        expectThat(used.isWarm(10_000)).isFalse()
    }

    @Test
    fun `learns the run time of a route, which is bounded and forgotten`() {
        val known = (1..1_000L).fold(RunTimes()) { times, route -> times.learned("route-$route", 400.0, route) }
        expectThat(known.byName).hasSize(MAX_NAMES)
        expectThat(known.expected("route-1000", 100, 1_000)).isEqualTo(400.0)
        expectThat(known.expected("route-1", 100, 1_000)).isEqualTo(20.0)
        expectThat(known.expected("route-1000", 100, 2_000_000)).isEqualTo(20.0)
    }
}
