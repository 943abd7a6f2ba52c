package org.mulberrypin.decisions.objectives

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.surveys.PeerAddress
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnLine
import org.mulberrypin.schema.generated.BurnReport
import org.mulberrypin.schema.generated.Team
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
@DisplayName("A burn report")
class BurnReportTest {
    private data class TimedEvent(
        val wallMilliseconds: Long,
        val event: ObjectiveEvent,
        val instance: Int,
    )

    @Test
    fun `of several instances equals a recomputation from all events`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 301, iterations = 200), Arb.long()) { seed ->
                val random = Random(seed)
                val events = randomEvents(random)
                val report = mergedReport(events, now)
                report.lines.forEach { line ->
                    val own = events.filter { it.event.team == line.team && it.event.route == line.route }
                    checkLine(line, own)
                }
                expectThat(report.lines.sumOf { it.good + it.bad })
                    .isEqualTo(events.count { it.hour > now / HOUR - 72 }.toLong())
                expectThat(report.instances).isEqualTo(listOf("instance-0", "instance-1", "instance-2"))
            }
        }
    }

    @Test
    fun `counts every event of the budget period once, also beyond the limit of series`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 302, iterations = 200), Arb.long()) { seed ->
                val limits = ObjectiveLimits(series = 3)
                val random = Random(seed)
                val counters = (0 until 50).fold(EventCounters(limits)) { counters, _ ->
                    counters.record(ObjectiveEvent("team-${random.nextInt(9)}", "route", random.nextBoolean()), now)
                }
                expectThat(counters.series.size).isLessThanOrEqualTo(limits.series + 1)
                expectThat(counters.counts().flatMap { it.hours }.sumOf { it.good + it.bad }).isEqualTo(50L)
            }
        }
    }

    @Test
    fun `names the instances that do not answer in time`() {
        val state = burnState("own", now, ObjectiveLimits()).copy(peers = listOf(PeerAddress("absent", "127.0.0.1:1")))
        val waiting = decideBurn(state, BurnEvent.ReportRequested(1, includePeers = true, now), 0)
        val expired = decideBurn(waiting.state, BurnEvent.Tick(now), ObjectiveLimits().queryTimeoutMilliseconds)
        val report = (expired.effects.single() as BurnEffect.AnswerReport).report
        expectThat(report.missingInstances).isEqualTo(listOf("absent"))
    }

    private fun randomEvents(random: Random): List<TimedEvent> =
        List(random.nextInt(200)) {
            val maximumAge = listOf(10 * MINUTE, 2 * HOUR, 80 * HOUR).random(random)
            val event = ObjectiveEvent("team-${random.nextInt(2)}", "route-${random.nextInt(2)}", random.nextInt(4) > 0)
            TimedEvent(now - random.nextLong(maximumAge), event, random.nextInt(3))
        }.sortedBy { it.wallMilliseconds }

    private fun mergedReport(
        events: List<TimedEvent>,
        now: Long,
    ): BurnReport {
        val states = (0..2).map { instance ->
            events
                .filter { it.instance == instance }
                .fold(burnState("instance-$instance", 0, ObjectiveLimits())) { state, timed ->
                    decideBurn(state, BurnEvent.Recorded(timed.event, timed.wallMilliseconds), 0).state
                }
        }
        val peers = listOf(PeerAddress("instance-1", ""), PeerAddress("instance-2", ""))
        val first = states[0].copy(teams = teams.associateBy(Team::name), peers = peers)
        val waiting = decideBurn(first, BurnEvent.ReportRequested(1, includePeers = true, now), 0).state
        val answers = (1..2).map { BurnEvent.PeerAnswered(1, "instance-$it", counts(states[it])) }
        val partial = decideBurn(waiting, answers[0], 0).state
        val repeated = decideBurn(partial, answers[0], 0).state
        return (decideBurn(repeated, answers[1], 0).effects.single() as BurnEffect.AnswerReport).report
    }

    private fun counts(state: BurnState): BurnAnswer =
        (decideBurn(state, BurnEvent.CountsRequested(1), 0).effects.single() as BurnEffect.AnswerCounts).answer

    private fun checkLine(
        line: BurnLine,
        own: List<TimedEvent>,
    ) {
        val budget = 1 - line.objectivePerMille / 1000.0
        line.windows.forEach { window ->
            val span = if (window.lengthMilliseconds <= 6 * HOUR) MINUTE else HOUR
            val first = now / span - window.lengthMilliseconds / span + 1
            val inWindow = own.filter { it.wallMilliseconds / span >= first }
            val bad = inWindow.count { !it.event.good }
            expectThat(window.bad to window.good).isEqualTo(bad.toLong() to (inWindow.size - bad).toLong())
            val rate = if (inWindow.isEmpty()) 0.0 else bad.toDouble() / inWindow.size / budget
            expectThat(window.burnRate).isEqualTo(rate)
        }
        val rates = line.windows.associate { it.lengthMilliseconds to it.burnRate }
        val alarms = listOf(
            Triple(5 * MINUTE, HOUR, 14.4),
            Triple(30 * MINUTE, 6 * HOUR, 6.0),
            Triple(
                6 * HOUR,
                72 * HOUR,
                1.0,
            ),
        ).filter { (short, long, rate) -> rates.getValue(short) >= rate && rates.getValue(long) >= rate }
        expectThat(line.alarms.map { Triple(it.shortMilliseconds, it.longMilliseconds, it.rate) }).isEqualTo(alarms)
        val hourlyBurnRates = own
            .filter { it.hour > now / HOUR - 72 }
            .groupBy { it.hour }
            .mapValues { (_, inHour) -> inHour.count { !it.event.good }.toDouble() / inHour.size / budget }
        expectThat(line.worstHour?.burnRate ?: 0.0).isEqualTo(hourlyBurnRates.values.maxOrNull() ?: 0.0)
        val counted = own.filter { it.hour > now / HOUR - 72 }
        val spent = if (counted.isEmpty()) 0.0 else counted.count { !it.event.good }.toDouble() / counted.size / budget
        expectThat(line.budgetLeftRatio).isEqualTo(1 - spent)
    }

    private val TimedEvent.hour: Long
        get() = wallMilliseconds / HOUR

    private val now = 500_000 * HOUR + 17 * MINUTE + 123
    private val teams = listOf(Team("team-0", objectivePerMille = 990), Team("team-1", objectivePerMille = 900))

    private companion object {
        /** One minute in milliseconds. */
        const val MINUTE = 60_000L

        /** One hour in milliseconds. */
        const val HOUR = 60 * MINUTE
    }
}
