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
        ExplanationLimits(recordsPerSubject = 20, subjects = 2, answerRecordLimit = 10, pendingQueryLimit = 3)
    private val initial =
        explanationState(limits).copy(peers = listOf(PeerAddress("a", "a:1"), PeerAddress("b", "b:1")))

    @Test
    fun `answer each query once, with the author's team only, despite interleaved, late and unexpected answers`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 311), Arb.long()) { seed ->
                val random = Random(seed)
                val authors = mutableMapOf<Long, QueryAuthor>()
                val answered = mutableListOf<Long>()
                var state = initial
                (1L..80L).forEach { now ->
                    val event = randomEvent(random, now, authors)
                    val transition = decideExplanations(state, event, now * 100)
                    state = transition.state
                    val answers = transition.effects.filterIsInstance<ExplanationEffect.Answer>()
                    val refusals = transition.effects.filterIsInstance<ExplanationEffect.Refuse>()
                    answers.forEach { checkTeam(it, authors.getValue(it.queryNumber)) }
                    answered += answers.map { it.queryNumber } + refusals.map { it.queryNumber }
                    expectThat(state.queries.open.size).isLessThanOrEqualTo(limits.pendingQueryLimit)
                }
                val end = decideExplanations(state, ExplanationEvent.Tick, 1_000_000)
                answered += end.effects.map { (it as ExplanationEffect.Answer).queryNumber }
                expectThat(answered.sorted()).isEqualTo(authors.keys.sorted())
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
                val query = ExplanationQuery("request", name = "", QueryAuthor.TeamMember("idle"))
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
        author: QueryAuthor,
    ) {
        expectThat(answer.explanations.size).isLessThanOrEqualTo(limits.answerRecordLimit)
        if (author is QueryAuthor.TeamMember) {
            expectThat(answer.explanations).all { get { team }.isEqualTo(author.team) }
        }
    }

    private fun queryEvent(number: Long): ExplanationEvent =
        ExplanationEvent.QueryReceived(
            number,
            ExplanationQuery("request", "", QueryAuthor.Operator),
            includePeers = true,
        )

    private fun randomEvent(
        rng: Random,
        now: Long,
        authors: MutableMap<Long, QueryAuthor>,
    ): ExplanationEvent {
        val queryNumber = rng.nextLong(1, now + 1)
        val peer = listOf("a", "b", "unknown").random(rng)
        return when (rng.nextInt(6)) {
            0 -> {
                ExplanationEvent.Recorded(randomRecord(rng, now))
            }

            1, 2 -> {
                val author =
                    if (rng.nextBoolean()) QueryAuthor.Operator else QueryAuthor.TeamMember("team-${rng.nextInt(3)}")
                authors[now] = author
                val query = ExplanationQuery("request", "name-${rng.nextInt(2)}", author)
                ExplanationEvent.QueryReceived(now, query, includePeers = rng.nextInt(4) > 0)
            }

            3 -> {
                ExplanationEvent.PeerAnswered(queryNumber, peer, List(rng.nextInt(4)) { randomRecord(rng, now) })
            }

            4 -> {
                ExplanationEvent.PeerFailed(queryNumber, peer)
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
