package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.TaskState
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue

class RunJobsTest {
    @Test
    fun `accepts a stored job and starts its tasks`() {
        val world = world()
        val runs = world.startJob(4)
        expectThat(world.all<TrafficEffect.AcceptJob>()).hasSize(1)
        expectThat(runs.map { it.task.id }.toSet()).hasSize(4)
    }

    @Test
    fun `keeps the tasks of a group at one engine`() {
        val runs = world().startJob(2)
        expectThat(runs.map { it.server }.toSet()).hasSize(1)
    }

    @Test
    fun `sends no more tasks to an engine than it has slots`() {
        val world = world(engines = 1)
        expectThat(world.startJob(12)).hasSize(8)
    }

    @Test
    fun `uses no engine whose weights are older than the job allows`() {
        val world = world(engines = 1)
        val submitted = submission(2).copy(minimumVersion = 2)
        world.tell(TrafficEvent.JobStored(7, ownRecord(2), 10, submitted, emptyMap()))
        expectThat(world.all<TrafficEffect.RunTask>()).isEmpty()
        world.tell(TrafficEvent.BackendsChanged(listOf(engine("engine-1", version = 2), plainServer("plain-1"))))
        expectThat(world.all<TrafficEffect.RunTask>()).hasSize(2)
    }

    @Test
    fun `goes on after the last event at another engine`() {
        val world = world()
        val run = world.startJob(1).single()
        world.stream(run)
        world.tell(TrafficEvent.TaskBroke(run.job, run.task.id, run.attempt, sent = true, detail = "closed"))
        val next = world.single<TrafficEffect.RunTask>()
        expectThat(next.lastEvent).isEqualTo(3)
        expectThat(next.server).isNotEqualTo(run.server)
    }

    @Test
    fun `takes no event out of order`() {
        val world = world()
        val run = world.startJob(1).single()
        world.stream(run)
        world.tell(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(TaskEvent(5, "e5", null))))
        expectThat(world.all<TrafficEffect.CancelTask>()).hasSize(1)
        expectThat(
            world.state.jobs
                .getValue(run.job)
                .tasks
                .getValue(run.task.id)
                .lastEvent,
        ).isEqualTo(3)
    }

    @Test
    fun `names every version that generated an event`() {
        val world = world()
        val run = world.startJob(1).single()
        world.stream(run)
        world.tell(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(TaskEvent(4, "e4", 2))))
        world.tell(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
        world.tell(answer(world.single()))
        expectThat(
            world
                .single<TrafficEffect.WriteResults>()
                .batch.results
                .single()
                .versions,
        ).containsExactly(1, 2)
    }

    @Test
    fun `lists a task with the signature of its scoring call as score`() {
        val world = world()
        world.complete(world.startJob(1).single())
        val result = world
            .single<TrafficEffect.WriteResults>()
            .batch.results
            .single()
        expectThat(result.state).isEqualTo(TaskState.COMPLETED)
        expectThat(result.text).isEqualTo("e1\ne2\ne3")
        expectThat(result.score).isEqualTo("signature--1")
    }

    @Test
    fun `writes one batch at a time and the next positions after it`() {
        val world = world()
        val runs = world.startJob(3)
        world.complete(runs[0])
        val batch = world.single<TrafficEffect.WriteResults>().batch
        expectThat(batch.firstPosition).isEqualTo(0)
        world.complete(runs[1])
        expectThat(world.all<TrafficEffect.WriteResults>()).isEmpty()
        world.tell(TrafficEvent.ResultsWritten(batch, 10))
        expectThat(world.single<TrafficEffect.WriteResults>().batch.firstPosition).isEqualTo(1)
    }

    @Test
    fun `reads the rows again after a write that may have taken effect and lists nothing twice`() {
        val world = world()
        val runs = world.startJob(2)
        world.complete(runs[0])
        val lost = world.single<TrafficEffect.WriteResults>().batch
        world.tell(TrafficEvent.ResultsNotWritten(lost, "no answer"))
        world.complete(runs[1])
        expectThat(world.all<TrafficEffect.WriteResults>()).isEmpty()
        world.now += 300
        world.tell(TrafficEvent.Ticked)
        expectThat(world.all<TrafficEffect.ReloadJob>()).hasSize(1)
        val listed = listOf(runs[0].task.id)
        world.tell(TrafficEvent.JobLoaded(ownRecord(2), 10, submission(2), emptyMap(), listed))
        val batch = world.single<TrafficEffect.WriteResults>().batch
        expectThat(batch.firstPosition).isEqualTo(1)
        expectThat(batch.results.map { it.id }).containsExactly(runs[1].task.id)
    }

    @Test
    fun `has one write under way when rows that were read twice arrive one after the other`() {
        val world = world()
        val runs = world.startJob(3)
        world.complete(runs[0])
        val lost = world.single<TrafficEffect.WriteResults>().batch
        world.tell(TrafficEvent.ResultsNotWritten(lost, "no answer"))
        val empty = TrafficEvent.JobLoaded(ownRecord(3), 10, submission(3), emptyMap(), emptyList())
        world.tell(empty)
        expectThat(world.all<TrafficEffect.WriteResults>()).hasSize(1)
        world.complete(runs[1])
        world.tell(empty)
        expectThat(world.all<TrafficEffect.WriteResults>()).isEmpty()
    }

    @Test
    fun `takes no answer to a write that was sent before the job was lost and taken over again`() {
        val world = world()
        world.complete(world.startJob(2).first())
        val old = world.single<TrafficEffect.WriteResults>().batch
        world.tell(TrafficEvent.JobRowsSeen(listOf(JobRow("job-1", ownRecord(2).copy(owner = "entry-2"), 11))))
        world.tell(TrafficEvent.JobLoaded(ownRecord(2), 12, submission(2), emptyMap(), emptyList()))
        world.complete(world.all<TrafficEffect.RunTask>().first())
        world.tell(TrafficEvent.ResultsWritten(old, 10))
        val job = world.state.jobs.getValue("job-1")
        expectThat(job.listed).isEqualTo(0)
        expectThat(job.writing).isEqualTo(1)
    }

    @Test
    fun `starts no job from rows that were read before another instance took it over`() {
        val world = world()
        val taken = ownRecord(2).copy(owner = "entry-2")
        world.tell(TrafficEvent.JobRowsSeen(listOf(JobRow("job-1", taken, 11))))
        world.tell(TrafficEvent.JobLoaded(ownRecord(2), 10, submission(2), emptyMap(), emptyList()))
        expectThat(world.all<TrafficEffect.RunTask>()).isEmpty()
    }

    @Test
    fun `marks the job complete with its last results`() {
        val world = world()
        world.complete(world.startJob(1).single())
        expectThat(
            world
                .single<TrafficEffect.WriteResults>()
                .batch.record.complete,
        ).isTrue()
    }

    @Test
    fun `stops the tasks of a job that was ended`() {
        val world = world()
        world.startJob(3)
        val row = JobRow("job-1", ownRecord(3).copy(ended = true), 11)
        world.tell(TrafficEvent.JobRowsSeen(listOf(row)))
        expectThat(world.all<TrafficEffect.CancelTask>()).hasSize(3)
        expectThat(
            world.state.backends.values
                .sumOf { it.inFlight },
        ).isEqualTo(0)
    }

    @Test
    fun `stops the tasks of a job that another instance took over`() {
        val world = world()
        world.startJob(3)
        world.tell(TrafficEvent.JobRowsSeen(listOf(JobRow("job-1", ownRecord(3).copy(owner = "entry-2"), 11))))
        expectThat(world.all<TrafficEffect.CancelTask>()).hasSize(3)
    }

    @Test
    fun `fails a task that can never be done and repeats one that failed once`() {
        val world = world()
        val runs = world.startJob(2)
        world.tell(TrafficEvent.TaskAnswered("job-1", runs[0].task.id, 1, 422, notRun = false, version = null))
        expectThat(
            world
                .single<TrafficEffect.WriteResults>()
                .batch.results
                .single()
                .state,
        ).isEqualTo(TaskState.FAILED)
        world.tell(TrafficEvent.TaskAnswered("job-1", runs[1].task.id, 1, 500, notRun = false, version = null))
        world.now += 200
        world.tell(TrafficEvent.Ticked)
        expectThat(world.single<TrafficEffect.RunTask>().task.id).isEqualTo(runs[1].task.id)
    }

    @Test
    fun `takes over the job of an instance that started anew`() {
        val world = world()
        val row = JobRow("job-1", ownRecord(2).copy(ownerIncarnation = 0), 5)
        world.tell(TrafficEvent.JobRowsSeen(listOf(row)))
        world.tell(TrafficEvent.Ticked)
        expectThat(world.single<TrafficEffect.TakeOverJob>().record.ownerIncarnation).isEqualTo(1)
    }

    @Test
    fun `takes the jobs of its earlier process before it has read a heartbeat`() {
        val world = TrafficWorld()
        world.tell(TrafficEvent.JobRowsSeen(listOf(JobRow("job-1", ownRecord(2).copy(ownerIncarnation = 0), 5))))
        world.tell(TrafficEvent.Ticked)
        expectThat(world.single<TrafficEffect.TakeOverJob>().version).isEqualTo(5)
    }

    @Test
    fun `leaves a job that was ended to rest when its owner starts anew`() {
        val world = TrafficWorld()
        val ended = ownRecord(2).copy(ownerIncarnation = 0, ended = true)
        world.tell(TrafficEvent.JobRowsSeen(listOf(JobRow("job-1", ended, 5))))
        world.tell(TrafficEvent.Ticked)
        expectThat(world.all<TrafficEffect.TakeOverJob>()).isEmpty()
    }

    @Test
    fun `gives all jobs of a model to one live instance`() {
        val world = world()
        val live = (1..5L).map { LiveInstance("entry-$it", it) }
        world.tell(TrafficEvent.InstancesSeen(live))
        val owners = (1..4).map { number ->
            val record = ownRecord(2).copy(id = "job-$number", owner = "", ownerIncarnation = 0)
            world.tell(TrafficEvent.JobSubmitted(number.toLong(), record, submission(2), emptyMap()))
            world.single<TrafficEffect.StoreJob>().record.owner
        }
        expectThat(owners.toSet()).hasSize(1)
    }

    @Test
    fun `loads a job that another instance accepted for this one`() {
        val world = world()
        world.tell(TrafficEvent.JobRowsSeen(listOf(JobRow("job-1", ownRecord(2), 5))))
        expectThat(world.all<TrafficEffect.ReloadJob>()).hasSize(1)
        world.tell(TrafficEvent.Ticked)
        expectThat(world.all<TrafficEffect.ReloadJob>()).isEmpty()
        world.now += 1_500
        world.tell(TrafficEvent.Ticked)
        expectThat(world.all<TrafficEffect.ReloadJob>()).hasSize(1)
    }
}
