package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.TaskState
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** A scoring call that fails on every server: unless its task is given up, the trainer waits for its group forever. */
class ScoringErrorsTest {
    @Test
    fun `gives a task up when its scoring failed as often as the route allows, with fewer servers than attempts`() {
        val fixture = fixture(plainServers = 1, engines = 1)
        val calls = fixture.scoreUntilListed { response(it, status = 500) }
        expectThat(fixture.listedState()).isEqualTo(TaskState.FAILED)
        expectThat(calls).isEqualTo(3)
    }

    @Test
    fun `does not give a task up for answers other than 500`() {
        val fixture = fixture(plainServers = 1, engines = 1)
        var calls = 0
        fixture.scoreUntilListed { send ->
            calls++
            if (calls <= 12) response(send, status = 503, notRun = true) else response(send)
        }
        expectThat(fixture.listedState()).isEqualTo(TaskState.COMPLETED)
    }

    @Test
    fun `calls no server more than three times as often as the route allows`() {
        val fixture = fixture(plainServers = 5, engines = 1)
        expectThat(fixture.scoreUntilListed { response(it, status = 500) }).isLessThanOrEqualTo(6)
    }

    /** Runs a task to its end and answers its scoring calls until its result is written; counts the calls. */
    private fun TrafficFixture.scoreUntilListed(answer: (TrafficEffect.Send) -> TrafficEvent): Int {
        val run = startJob(1).single()
        deliverEvents(run)
        decide(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
        val open = ArrayDeque(effectsOf<TrafficEffect.Send>())
        var calls = 0
        repeat(MAX_STEPS) {
            val send = open.removeFirstOrNull()
            if (send == null) {
                nowMilliseconds += 50
                decide(TrafficEvent.Tick)
            } else {
                calls++
                decide(answer(send))
            }
            if (effectsOf<TrafficEffect.WriteResults>().isNotEmpty()) return calls
            open.addAll(effectsOf<TrafficEffect.Send>())
        }
        return calls
    }

    private fun TrafficFixture.listedState(): TaskState? =
        effectsOf<TrafficEffect.WriteResults>()
            .singleOrNull()
            ?.batch
            ?.results
            ?.single()
            ?.state

    private companion object {
        private const val MAX_STEPS = 200
    }
}
