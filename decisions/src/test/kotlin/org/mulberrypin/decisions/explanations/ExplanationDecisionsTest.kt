package org.mulberrypin.decisions.explanations

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.surveys.SurveyPeer
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
    private val limits = ExplanationLimits(recordsPerSubject = 20, subjects = 2, answerRecords = 10, openQuestions = 3)
    private val start = explanationState(limits).copy(peers = listOf(SurveyPeer("a", "a:1"), SurveyPeer("b", "b:1")))

    @Test
    fun `answer each question once, with the asker's own team alone, under crossed, late and false answers`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 311), Arb.long()) { seed ->
                val random = Random(seed)
                val askers = mutableMapOf<Long, Asker>()
                val answered = mutableListOf<Long>()
                var state = start
                (1L..80L).forEach { now ->
                    val event = anyEvent(random, now, askers)
                    val transition = decideExplanations(state, event, now * 100)
                    state = transition.state
                    val answers = transition.effects.filterIsInstance<ExplanationEffect.Answer>()
                    val refusals = transition.effects.filterIsInstance<ExplanationEffect.Refuse>()
                    answers.forEach { checkVisibility(it, askers.getValue(it.question)) }
                    answered += answers.map { it.question } + refusals.map { it.question }
                    expectThat(state.questions.open.size).isLessThanOrEqualTo(limits.openQuestions)
                }
                val end = decideExplanations(state, ExplanationEvent.Tick, 1_000_000)
                answered += end.effects.map { (it as ExplanationEffect.Answer).question }
                expectThat(answered.sorted()).isEqualTo(askers.keys.sorted())
            }
        }
    }

    @Test
    fun `stay within their bounds and keep the newest of a quiet team beside a loud one`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 312), Arb.long()) { seed ->
                val random = Random(seed)
                val quiet =
                    List(random.nextInt(1, 10)) { Explanation(it.toLong(), subject = "request", team = "quiet") }
                val loud = List(random.nextInt(200)) { Explanation(it.toLong(), subject = "request", team = "loud") }
                val others = List(random.nextInt(5)) { Explanation(it.toLong(), subject = "other-$it", team = "loud") }
                val all = (quiet + loud).shuffled(random) + others
                val state = all.fold(start) { state, record ->
                    decideExplanations(state, ExplanationEvent.Recorded(record), 0).state
                }
                val query = ExplanationQuery("request", name = "", Asker.TeamMember("quiet"))
                expectThat(state.book.find(query).size).isEqualTo(quiet.size)
                expectThat(state.book.subjects.size).isLessThanOrEqualTo(limits.subjects)
                expectThat(
                    state.book.subjects.values
                        .toList(),
                ).all {
                    get { teams.values.sumOf { it.size } }.isLessThanOrEqualTo(limits.recordsPerSubject)
                }
            }
        }
    }

    @Test
    fun `refuse a question when too many wait`() {
        val full = (1L..3L).fold(start) { state, number -> decideExplanations(state, asked(number), 0).state }
        expectThat(decideExplanations(full, asked(4), 0).effects.single()).isA<ExplanationEffect.Refuse>()
    }

    private fun checkVisibility(
        answer: ExplanationEffect.Answer,
        asker: Asker,
    ) {
        expectThat(answer.explanations.size).isLessThanOrEqualTo(limits.answerRecords)
        if (asker is Asker.TeamMember) {
            expectThat(answer.explanations).all { get { team }.isEqualTo(asker.team) }
        }
    }

    private fun asked(number: Long): ExplanationEvent =
        ExplanationEvent.Asked(number, ExplanationQuery("request", "", Asker.Operator), everywhere = true)

    private fun anyEvent(
        random: Random,
        now: Long,
        askers: MutableMap<Long, Asker>,
    ): ExplanationEvent {
        val question = random.nextLong(1, now + 1)
        val peer = listOf("a", "b", "stranger").random(random)
        return when (random.nextInt(6)) {
            0 -> {
                ExplanationEvent.Recorded(record(random, now))
            }

            1, 2 -> {
                val asker = if (random.nextBoolean()) Asker.Operator else Asker.TeamMember("team-${random.nextInt(3)}")
                askers[now] = asker
                val query = ExplanationQuery("request", "name-${random.nextInt(2)}", asker)
                ExplanationEvent.Asked(now, query, everywhere = random.nextInt(4) > 0)
            }

            3 -> {
                ExplanationEvent.PeerAnswered(question, peer, List(random.nextInt(4)) { record(random, now) })
            }

            4 -> {
                ExplanationEvent.PeerFailed(question, peer)
            }

            else -> {
                ExplanationEvent.Tick
            }
        }
    }

    private fun record(
        random: Random,
        now: Long,
    ): Explanation =
        Explanation(now, subject = "request", name = "name-${random.nextInt(2)}", team = "team-${random.nextInt(3)}")
}
