package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.ModelDemand
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Load pattern: a trainer submits a step each 4 s, with estimates of lengths that are missing or absurd at times. */
class StateDemandTest {
    private val fixture = fixture(engines = 1)

    @Test
    fun `states waiting and running tasks and their tokens, twice a second`() {
        submit("job-1", tasks = 12, hint = 100)
        expectThat(stated()).isEqualTo(ModelDemand(MODEL, 1_200, 4, 8, 300.0, 0.0))
        fixture.nowMilliseconds += 100
        expectThat(fixture.decide(TrafficEvent.Tick).filterIsInstance<TrafficEffect.StateDemand>()).isEmpty()
    }

    @Test
    fun `states the rate of the steps and the pace of the engines that run them`() {
        repeat(2) { step ->
            submit("job-$step", tasks = 4, hint = 100)
            stated()
            fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-$step", null, 99))))
            fixture.nowMilliseconds += 4_000
        }
        submit("job-2", tasks = 4, hint = 100)
        val run = fixture.effectsOf<TrafficEffect.RunTask>().first()
        expectThat(stated().tokensPerSecond).isEqualTo(100.0)
        (1L..12L).forEach { event ->
            fixture.nowMilliseconds += 50
            val events = listOf(TaskEvent(event, "e", null))
            fixture.decide(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, events))
        }
        fixture.nowMilliseconds += 500
        expectThat(stated().taskTokensPerSecond).isEqualTo(320.0)
    }

    @Test
    fun `absurd estimates of lengths are cut`() {
        submit("job-1", tasks = 1, hint = 1_000_000_000)
        submit("job-2", tasks = 1, hint = 0)
        expectThat(stated().remainingTokens).isLessThan(1_100_000)
    }

    @Test
    fun `states no demand once the last steps are over`() {
        submit("job-1", tasks = 1, hint = 100)
        stated()
        fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", null, 99))))
        fixture.nowMilliseconds += 13_000
        expectThat(fixture.decide(TrafficEvent.Tick).filterIsInstance<TrafficEffect.StateDemand>())
            .isEqualTo(listOf(TrafficEffect.StateDemand(emptyList())))
        fixture.nowMilliseconds += 1_000
        expectThat(fixture.decide(TrafficEvent.Tick).filterIsInstance<TrafficEffect.StateDemand>()).hasSize(0)
    }

    private fun submit(
        job: String,
        tasks: Int,
        hint: Long,
    ) {
        val record = ownRecord(tasks).copy(id = job, submittedWallMilliseconds = fixture.nowMilliseconds)
        val submission = submission(tasks).let { all ->
            all.copy(tasks = all.tasks.map { it.copy(id = "$job-${it.id}") })
        }
        val hints = submission.tasks.associate { it.id to hint }
        fixture.decide(TrafficEvent.JobStored(7, record, 10, submission, hints))
    }

    private fun stated(): ModelDemand =
        fixture
            .decide(TrafficEvent.Tick)
            .filterIsInstance<TrafficEffect.StateDemand>()
            .single()
            .demands
            .single()
}
