package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/**
 * Guards against a task that fails at each run and is sent without end: an engine that sends its answers twice hides
 * the failure behind a copy of another answer, and a failure that is not received is not counted.
 */
class LostAnswersTest {
    @Test
    fun `a task that can never be done is sent twice at most when its answers are hidden on kept connections`() {
        expectThat(sendsUntilGivenUp(status = 422)).isLessThanOrEqualTo(2)
    }

    @Test
    fun `a task that fails at each run is sent once more than the route allows when its answers are hidden`() {
        expectThat(sendsUntilGivenUp(status = 500)).isLessThanOrEqualTo(4)
    }

    @Test
    fun `the next attempt of a task uses a kept connection once an engine has started its stream`() {
        val fixture = fixture()
        fixture.loseAnswer(fixture.startJob(1).single())
        val second = fixture.nextRun()
        expectThat(second?.needsNewConnection).isEqualTo(true)
        fixture.deliverEvents(second!!)
        val notSent = TrafficEvent.TaskAttemptFailed(second.job, second.task.id, second.attempt, false, "no connection")
        fixture.decide(notSent)
        expectThat(fixture.nextRun()?.needsNewConnection).isEqualTo(false)
    }

    // Guards against tasks that open, and close, connections at every refusal of a full engine after one lost answer.
    @Test
    fun `the next attempt of a task uses a kept connection once an engine has answered with a refusal`() {
        val fixture = fixture()
        fixture.loseAnswer(fixture.startJob(1).single())
        val second = fixture.nextRun()!!
        expectThat(second.needsNewConnection).isEqualTo(true)
        fixture.decide(TrafficEvent.TaskResponseReceived(second.job, second.task.id, second.attempt, 503, true, null))
        expectThat(fixture.nextRun()?.needsNewConnection).isEqualTo(false)
    }

    /** Answers each attempt with [status], which is received only over a new connection. */
    private fun sendsUntilGivenUp(status: Int): Int {
        val fixture = fixture()
        var run = fixture.startJob(1).single()
        for (sends in 1..MAX_SENDS) {
            if (run.needsNewConnection) fixture.answer(run, status) else fixture.loseAnswer(run)
            if (fixture.effectsOf<TrafficEffect.WriteResults>().isNotEmpty()) return sends
            run = fixture.nextRun() ?: return sends
        }
        return MAX_SENDS
    }

    private fun TrafficFixture.answer(
        run: TrafficEffect.RunTask,
        status: Int,
    ) = decide(TrafficEvent.TaskResponseReceived(run.job, run.task.id, run.attempt, status, false, null))

    private fun TrafficFixture.loseAnswer(run: TrafficEffect.RunTask) =
        decide(TrafficEvent.TaskAttemptFailed(run.job, run.task.id, run.attempt, true, "no matching identifier"))

    /** Lets time pass until the task is sent again; returns null if its job expires before. */
    private fun TrafficFixture.nextRun(): TrafficEffect.RunTask? {
        repeat(MAX_TICKS) {
            effectsOf<TrafficEffect.RunTask>().singleOrNull()?.let { return it }
            nowMilliseconds += 50
            decide(TrafficEvent.Tick)
        }
        return null
    }

    private companion object {
        private const val MAX_SENDS = 30
        private const val MAX_TICKS = 200
    }
}
