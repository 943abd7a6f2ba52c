package org.mulberrypin.decisions.explanations

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.surveys.PeerAddress
import org.mulberrypin.schema.generated.Explanation
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
@DisplayName("Explanations")
class ExplanationDecisionsTest {
    private val limits =
        ExplanationLimits(recordsPerSubject = 20, subjects = 2, answerRecordLimit = 10, pendingQuestionLimit = 3)
    private val initial =
        explanationState(limits).copy(peers = listOf(PeerAddress("a", "a:1"), PeerAddress("b", "b:1")))

    @Test
    fun `answer each query once, with the asker's team only, despite interleaved, late and unexpected answers`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 311), Arb.long()) { seed ->
                val random = Random(seed)
                val askers = mutableMapOf<Long, Asker>()
                val answered = mutableListOf<Long>()
                var state = initial
                (1L..80L).forEach { now ->
                    val event = randomEvent(random, now, askers)
                    val transition = decideExplanations(state, event, now * 100)
                    state = transition.state
                    val answers = transition.effects.filterIsInstance<ExplanationEffect.Answer>()
                    val refusals = transition.effects.filterIsInstance<ExplanationEffect.Refuse>()
                    answers.forEach { checkTeam(it, askers.getValue(it.question)) }
                    answered += answers.map { it.question } + refusals.map { it.question }
                    expectThat(state.questions.open.size).isLessThanOrEqualTo(limits.pendingQuestionLimit)
                }
                val end = decideExplanations(state, ExplanationEvent.Tick, 1_000_000)
                answered += end.effects.map { (it as ExplanationEffect.Answer).question }
                expectThat(answered.sorted()).isEqualTo(askers.keys.sorted())
            }
        }
    }

    @Test
    fun `stay within their limits and keep all records of an idle team next to a busy one`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 312), Arb.long()) { seed ->
                val random = Random(seed)
                val idle =
                    List(random.nextInt(1, 10)) { Explanation(it.toLong(), subject = "request", team = "idle") }
                val busy = List(random.nextInt(200)) { Explanation(it.toLong(), subject = "request", team = "busy") }
                val others = List(random.nextInt(5)) { Explanation(it.toLong(), subject = "other-$it", team = "busy") }
                val all = (idle + busy).shuffled(random) + others
                val state = all.fold(initial) { state, record ->
                    decideExplanations(state, ExplanationEvent.Recorded(record), 0).state
                }
                val query = ExplanationQuery("request", name = "", Asker.TeamMember("idle"))
                expectThat(state.records.find(query).size).isEqualTo(idle.size)
                expectThat(state.records.subjects.size).isLessThanOrEqualTo(limits.subjects)
                expectThat(
                    state.records.subjects.values
                        .toList(),
                ).all {
                    get { teams.values.sumOf { it.size } }.isLessThanOrEqualTo(limits.recordsPerSubject)
                }
            }
        }
    }

    @Test
    fun `refuse a query when too many are waiting for peers`() {
        val full = (1L..3L).fold(initial) { state, number -> decideExplanations(state, queryEvent(number), 0).state }
        expectThat(decideExplanations(full, queryEvent(4), 0).effects.single()).isA<ExplanationEffect.Refuse>()
    }

    private fun checkTeam(
        answer: ExplanationEffect.Answer,
        asker: Asker,
    ) {
        expectThat(answer.explanations.size).isLessThanOrEqualTo(limits.answerRecordLimit)
        if (asker is Asker.TeamMember) {
            expectThat(answer.explanations).all { get { team }.isEqualTo(asker.team) }
        }
    }

    private fun queryEvent(number: Long): ExplanationEvent =
        ExplanationEvent.Asked(number, ExplanationQuery("request", "", Asker.Operator), everywhere = true)

    private fun randomEvent(
        random: Random,
        now: Long,
        askers: MutableMap<Long, Asker>,
    ): ExplanationEvent {
        val question = random.nextLong(1, now + 1)
        val peer = listOf("a", "b", "unknown").random(random)
        return when (random.nextInt(6)) {
            0 -> {
                ExplanationEvent.Recorded(randomRecord(random, now))
            }

            1, 2 -> {
                val asker = if (random.nextBoolean()) Asker.Operator else Asker.TeamMember("team-${random.nextInt(3)}")
                askers[now] = asker
                val query = ExplanationQuery("request", "name-${random.nextInt(2)}", asker)
                ExplanationEvent.Asked(now, query, everywhere = random.nextInt(4) > 0)
            }

            3 -> {
                ExplanationEvent.PeerAnswered(question, peer, List(random.nextInt(4)) { randomRecord(random, now) })
            }

            4 -> {
                ExplanationEvent.PeerFailed(question, peer)
            }

            else -> {
                ExplanationEvent.Tick
            }
        }
    }

    private fun randomRecord(
        random: Random,
        now: Long,
    ): Explanation =
        Explanation(now, subject = "request", name = "name-${random.nextInt(2)}", team = "team-${random.nextInt(3)}")
}
