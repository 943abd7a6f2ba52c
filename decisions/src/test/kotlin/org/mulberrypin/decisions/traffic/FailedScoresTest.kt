package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against listing a task as completed with the signature of a failed scoring call as its score. */
class FailedScoresTest {
    @ParameterizedTest
    @ValueSource(ints = [302, 400, 401, 404, 408, 413, 421, 422, 429, 500, 502, 503, 504])
    fun `a signed failure of a scoring call is no score`(status: Int) {
        val fixture = fixture()
        fixture.complete(fixture.startJob(1).single()) { response(it, status = status) }
        expectThat(fixture.effectsOf<TrafficEffect.WriteResults>()).isEmpty()
        expectThat(fixture.scoreAfterRetries()).isEqualTo("signature-of-success")
    }

    @Test
    fun `a success without a signature is no score`() {
        val fixture = fixture()
        fixture.complete(fixture.startJob(1).single()) { response(it, signed = false) }
        expectThat(fixture.scoreAfterRetries()).isEqualTo("signature-of-success")
    }

    @Test
    fun `a scoring call that always gets a failure of the client's kind is never listed as completed`() {
        val fixture = fixture()
        fixture.complete(fixture.startJob(1).single()) { response(it, status = 404) }
        repeat(200) {
            fixture.nowMilliseconds += 50
            fixture.decide(TrafficEvent.Tick)
            fixture.effectsOf<TrafficEffect.Send>().forEach { send -> fixture.decide(response(send, status = 404)) }
            expectThat(fixture.effectsOf<TrafficEffect.WriteResults>()).all { get { batch.results }.isEmpty() }
        }
    }

    /** Answers the next scoring call with a success, and returns the score of the task that is listed. */
    private fun TrafficFixture.scoreAfterRetries(): String {
        repeat(40) {
            val send = effectsOf<TrafficEffect.Send>().singleOrNull()
            if (send != null) {
                decide(response(send).copy(signature = "signature-of-success"))
                return singleEffect<TrafficEffect.WriteResults>()
                    .batch.results
                    .single()
                    .score
            }
            nowMilliseconds += 50
            decide(TrafficEvent.Tick)
        }
        error("the scoring call is not sent again")
    }

    private fun TrafficFixture.complete(
        run: TrafficEffect.RunTask,
        answer: (TrafficEffect.Send) -> TrafficEvent,
    ) {
        deliverEvents(run)
        decide(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
        decide(answer(singleEffect()))
    }
}
