package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.TaskPart
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Guards against a task that fails at each run and gets all its attempts again from each new owner of its job. */
class SavedErrorsTest {
    @Test
    fun `the errors of a task before its first event count when another instance takes the job over`() {
        val saved = HashMap<Long, TaskPart>()
        var errors = 0
        for (owner in 1..OWNERS) {
            val run = runUnder(owner, saved)
            errors += run.errors
            if (run.isGivenUp) break
        }
        expectThat(errors).isLessThanOrEqualTo(ATTEMPT_LIMIT)
    }

    @Test
    fun `events after saved errors are saved under the same key and resume with both`() {
        val fixture = fixture()
        fixture.decide(failure(fixture.startJob(1).single()))
        val first = fixture.nextSave().single()
        expectThat(first.run { Triple(firstEvent, lastEvent, errors) }).isEqualTo(Triple(1L, 0L, 1))
        val run = fixture.singleEffect<TrafficEffect.RunTask>()
        fixture.decide(TrafficEvent.ProgressSaved(fixture.singleEffect<TrafficEffect.SaveProgress>().batch))
        fixture.deliverEvents(run, 1L..20L)
        val second = fixture.nextSave().single()
        expectThat(second.run { Triple(firstEvent, lastEvent, errors) }).isEqualTo(Triple(1L, 20L, 1))
    }

    private data class OwnerRun(
        val errors: Int,
        val isGivenUp: Boolean,
    )

    /** Fails every attempt until the job's owner gives the task up, or stops before the last allowed attempt. */
    private fun runUnder(
        owner: Int,
        saved: HashMap<Long, TaskPart>,
    ): OwnerRun {
        val fixture = fixture()
        val parts = saved.values.sortedBy { it.firstEvent }
        fixture.decide(TrafficEvent.JobLoaded(ownRecord(1), 10L + owner, submission(1), emptyMap(), emptyList(), parts))
        var errors = 0
        while (errors < ATTEMPT_LIMIT - 1) {
            val run = fixture.effectsOf<TrafficEffect.RunTask>().singleOrNull()
            if (run == null) {
                fixture.nowMilliseconds += 50
                fixture.decide(TrafficEvent.Tick)
            } else {
                errors++
                fixture.decide(failure(run))
            }
            fixture.effectsOf<TrafficEffect.SaveProgress>().forEach { save ->
                save.batch.parts.forEach { saved[it.firstEvent] = it }
                fixture.decide(TrafficEvent.ProgressSaved(save.batch))
            }
            if (fixture.effectsOf<TrafficEffect.WriteResults>().isNotEmpty()) return OwnerRun(errors, true)
        }
        fixture.nextSave().forEach { saved[it.firstEvent] = it }
        return OwnerRun(errors, false)
    }

    private fun failure(run: TrafficEffect.RunTask) =
        TrafficEvent.TaskResponseReceived(run.job, run.task.id, run.attempt, 500, false, null)

    private fun TrafficFixture.nextSave(): List<TaskPart> {
        nowMilliseconds += 600
        decide(TrafficEvent.Tick)
        return effectsOf<TrafficEffect.SaveProgress>().flatMap { it.batch.parts }
    }

    private companion object {
        private const val OWNERS = 6

        /** Attempt limit of the route of tasks in the fixture. */
        private const val ATTEMPT_LIMIT = 3
    }
}
