package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.JobSubmission
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class CarriedTasksTest {
    @Test
    fun `resumes in a later job after the last event of an earlier job`() {
        val fixture = fixtureWithEndedJob()
        expectThat(fixture.startLaterJob().lastEvent).isEqualTo(3)
    }

    @Test
    fun `starts over when a weight version of the output is too old for the later job`() {
        val fixture = fixtureWithEndedJob()
        fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-1", version = 2), plainServer("plain-1"))))
        expectThat(fixture.startLaterJob(submission(1).copy(minimumVersion = 2)).lastEvent).isEqualTo(0)
    }

    @Test
    fun `starts over when the request of the task differs`() {
        val fixture = fixtureWithEndedJob()
        val other = submission(1).let { it.copy(tasks = it.tasks.map { task -> task.copy(body = "b3RoZXI=") }) }
        expectThat(fixture.startLaterJob(other).lastEvent).isEqualTo(0)
    }

    @Test
    fun `starts over for another team and after the carried task has expired`() {
        val fixture = fixtureWithEndedJob()
        expectThat(fixture.startLaterJob(team = "team-2").lastEvent).isEqualTo(0)
        val expired = fixtureWithEndedJob()
        expired.nowMilliseconds += 60_000
        expired.decide(TrafficEvent.Tick)
        expectThat(expired.startLaterJob().lastEvent).isEqualTo(0)
    }

    @Test
    fun `scores a complete output without generating it again`() {
        val fixture = fixture()
        val runs = fixture.startJob(2)
        fixture.complete(runs[0])
        val batch = fixture.singleEffect<TrafficEffect.WriteResults>().batch
        fixture.decide(TrafficEvent.ResultsWritten(batch, 10))
        fixture.endJob()
        fixture.submitLaterJob(submission(2))
        val started = fixture.effectsOf<TrafficEffect.RunTask>().map { it.task.id }
        expectThat(started).isEqualTo(listOf(runs[1].task.id))
        expectThat(
            fixture
                .singleEffect<TrafficEffect.Send>()
                .scoring
                ?.id,
        ).isEqualTo(runs[0].task.scoring?.id)
    }

    @Test
    fun `carries over no task of a group whose results are all in the store`() {
        val fixture = fixture()
        val run = fixture.startJob(1).single()
        fixture.complete(run)
        fixture.decide(TrafficEvent.ResultsWritten(fixture.singleEffect<TrafficEffect.WriteResults>().batch, 11))
        fixture.endJob()
        expectThat(fixture.state.carriedTasks.keys).isEmpty()
    }

    private fun fixtureWithEndedJob(): TrafficFixture {
        val fixture = fixture()
        fixture.deliverEvents(fixture.startJob(1).single())
        fixture.endJob()
        return fixture
    }

    private fun TrafficFixture.endJob() {
        decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", ownRecord(1).copy(ended = true), 12))))
    }

    private fun TrafficFixture.startLaterJob(
        submitted: JobSubmission = submission(1),
        team: String = TEAM,
    ): TrafficEffect.RunTask {
        submitLaterJob(submitted, team)
        return singleEffect()
    }

    private fun TrafficFixture.submitLaterJob(
        submitted: JobSubmission,
        team: String = TEAM,
    ) {
        val record = ownRecord(submitted.tasks.size).copy(id = "job-2", team = team)
        decide(TrafficEvent.JobStored(8, record, 20, submitted, emptyMap()))
    }
}
