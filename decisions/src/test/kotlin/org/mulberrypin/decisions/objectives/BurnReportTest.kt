package org.mulberrypin.decisions.objectives

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.surveys.SurveyPeer
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
    private data class Happening(
        val wallMilliseconds: Long,
        val event: ObjectiveEvent,
        val instance: Int,
    )

    @Test
    fun `over several instances equals a plain recomputation from all events`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 301, iterations = 200), Arb.long()) { seed ->
                val random = Random(seed)
                val happenings = happenings(random)
                val report = mergedReport(happenings, now)
                report.lines.forEach { line ->
                    val own = happenings.filter { it.event.team == line.team && it.event.route == line.route }
                    checkLine(line, own)
                }
                expectThat(report.lines.sumOf { it.good + it.bad })
                    .isEqualTo(happenings.count { it.hour > now / HOUR - 72 }.toLong())
                expectThat(report.instances).isEqualTo(listOf("instance-0", "instance-1", "instance-2"))
            }
        }
    }

    @Test
    fun `counts every event of the budget period once with however many teams`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 302, iterations = 200), Arb.long()) { seed ->
                val limits = ObjectiveLimits(series = 3)
                val random = Random(seed)
                val ledger = (0 until 50).fold(EventLedger(limits)) { ledger, _ ->
                    ledger.record(ObjectiveEvent("team-${random.nextInt(9)}", "route", random.nextBoolean()), now)
                }
                expectThat(ledger.series.size).isLessThanOrEqualTo(limits.series + 1)
                expectThat(ledger.counts().flatMap { it.hours }.sumOf { it.good + it.bad }).isEqualTo(50L)
            }
        }
    }

    @Test
    fun `names the instances that do not answer in time`() {
        val state = burnState("own", now, ObjectiveLimits()).copy(peers = listOf(SurveyPeer("silent", "127.0.0.1:1")))
        val asked = decideBurn(state, BurnEvent.ReportAsked(1, everywhere = true, now), 0)
        val late = decideBurn(asked.state, BurnEvent.Tick(now), ObjectiveLimits().questionMilliseconds)
        val report = (late.effects.single() as BurnEffect.AnswerReport).report
        expectThat(report.missingInstances).isEqualTo(listOf("silent"))
    }

    private fun happenings(random: Random): List<Happening> =
        List(random.nextInt(200)) {
            val reach = listOf(10 * MINUTE, 2 * HOUR, 80 * HOUR).random(random)
            val event = ObjectiveEvent("team-${random.nextInt(2)}", "route-${random.nextInt(2)}", random.nextInt(4) > 0)
            Happening(now - random.nextLong(reach), event, random.nextInt(3))
        }.sortedBy { it.wallMilliseconds }

    private fun mergedReport(
        happenings: List<Happening>,
        now: Long,
    ): BurnReport {
        val states = (0..2).map { instance ->
            happenings
                .filter { it.instance == instance }
                .fold(burnState("instance-$instance", 0, ObjectiveLimits())) { state, happening ->
                    decideBurn(state, BurnEvent.Recorded(happening.event, happening.wallMilliseconds), 0).state
                }
        }
        val peers = listOf(SurveyPeer("instance-1", ""), SurveyPeer("instance-2", ""))
        val first = states[0].copy(teams = teams.associateBy(Team::name), peers = peers)
        val asked = decideBurn(first, BurnEvent.ReportAsked(1, everywhere = true, now), 0).state
        val answers = (1..2).map { BurnEvent.PeerAnswered(1, "instance-$it", counts(states[it])) }
        val half = decideBurn(asked, answers[0], 0).state
        val repeated = decideBurn(half, answers[0], 0).state
        return (decideBurn(repeated, answers[1], 0).effects.single() as BurnEffect.AnswerReport).report
    }

    private fun counts(state: BurnState): BurnAnswer =
        (decideBurn(state, BurnEvent.CountsAsked(1), 0).effects.single() as BurnEffect.AnswerCounts).answer

    private fun checkLine(
        line: BurnLine,
        own: List<Happening>,
    ) {
        val allowed = 1 - line.objectivePerMille / 1000.0
        line.windows.forEach { window ->
            val span = if (window.lengthMilliseconds <= 6 * HOUR) MINUTE else HOUR
            val first = now / span - window.lengthMilliseconds / span + 1
            val inside = own.filter { it.wallMilliseconds / span >= first }
            val bad = inside.count { !it.event.good }
            expectThat(window.bad to window.good).isEqualTo(bad.toLong() to (inside.size - bad).toLong())
            val rate = if (inside.isEmpty()) 0.0 else bad.toDouble() / inside.size / allowed
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
        val hourly = own
            .filter { it.hour > now / HOUR - 72 }
            .groupBy { it.hour }
            .mapValues { (_, events) -> events.count { !it.event.good }.toDouble() / events.size / allowed }
        expectThat(line.worstHour?.burnRate ?: 0.0).isEqualTo(hourly.values.maxOrNull() ?: 0.0)
        val counted = own.filter { it.hour > now / HOUR - 72 }
        val spent = if (counted.isEmpty()) 0.0 else counted.count { !it.event.good }.toDouble() / counted.size / allowed
        expectThat(line.budgetLeftRatio).isEqualTo(1 - spent)
    }

    private val Happening.hour: Long
        get() = wallMilliseconds / HOUR

    private val now = 500_000 * HOUR + 17 * MINUTE + 123
    private val teams = listOf(Team("team-0", objectivePerMille = 990), Team("team-1", objectivePerMille = 900))

    private companion object {
        const val MINUTE = 60_000L
        const val HOUR = 60 * MINUTE
    }
}
