package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.JobSubmission
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class CarriedTasksTest {
    @Test
    fun `goes on in a later job after the last event of an earlier one`() {
        val world = worldWithEndedJob()
        expectThat(world.startLater().lastEvent).isEqualTo(3)
    }

    @Test
    fun `starts anew when a version of the text is too old for the later job`() {
        val world = worldWithEndedJob()
        world.tell(TrafficEvent.BackendsChanged(listOf(engine("engine-1", version = 2), plainServer("plain-1"))))
        expectThat(world.startLater(submission(1).copy(minimumVersion = 2)).lastEvent).isEqualTo(0)
    }

    @Test
    fun `starts anew when the request differs`() {
        val world = worldWithEndedJob()
        val other = submission(1).let { it.copy(tasks = it.tasks.map { task -> task.copy(body = "b3RoZXI=") }) }
        expectThat(world.startLater(other).lastEvent).isEqualTo(0)
    }

    @Test
    fun `starts anew for another team and after a while`() {
        val world = worldWithEndedJob()
        expectThat(world.startLater(team = "team-2").lastEvent).isEqualTo(0)
        val late = worldWithEndedJob()
        late.now += 60_000
        late.tell(TrafficEvent.Ticked)
        expectThat(late.startLater().lastEvent).isEqualTo(0)
    }

    @Test
    fun `scores a text that was complete without running it again`() {
        val world = world()
        val runs = world.startJob(2)
        world.complete(runs[0])
        val batch = world.single<TrafficEffect.WriteResults>().batch
        world.tell(TrafficEvent.ResultsWritten(batch, 10))
        world.endJob()
        world.submitLater(submission(2))
        val started = world.all<TrafficEffect.RunTask>().map { it.task.id }
        expectThat(started).isEqualTo(listOf(runs[1].task.id))
        expectThat(
            world
                .single<TrafficEffect.Send>()
                .scoring
                ?.id,
        ).isEqualTo(runs[0].task.scoring?.id)
    }

    @Test
    fun `keeps nothing of a group whose results are all listed`() {
        val world = world()
        val run = world.startJob(1).single()
        world.complete(run)
        world.tell(TrafficEvent.ResultsWritten(world.single<TrafficEffect.WriteResults>().batch, 11))
        world.endJob()
        expectThat(world.state.carried.keys).isEmpty()
    }

    private fun worldWithEndedJob(): TrafficWorld {
        val world = world()
        world.stream(world.startJob(1).single())
        world.endJob()
        return world
    }

    private fun TrafficWorld.endJob() {
        tell(TrafficEvent.JobRowsSeen(listOf(JobRow("job-1", ownRecord(1).copy(ended = true), 12))))
    }

    private fun TrafficWorld.startLater(
        submitted: JobSubmission = submission(1),
        team: String = TEAM,
    ): TrafficEffect.RunTask {
        submitLater(submitted, team)
        return single()
    }

    private fun TrafficWorld.submitLater(
        submitted: JobSubmission,
        team: String = TEAM,
    ) {
        val record = ownRecord(submitted.tasks.size).copy(id = "job-2", team = team)
        tell(TrafficEvent.JobStored(8, record, 20, submitted, emptyMap()))
    }
}
