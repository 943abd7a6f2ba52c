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
        val fixture = fixture()
        val runs = fixture.startJob(4)
        expectThat(fixture.effectsOf<TrafficEffect.AcceptJob>()).hasSize(1)
        expectThat(runs.map { it.task.id }.toSet()).hasSize(4)
    }

    @Test
    fun `runs the tasks of a group on one engine`() {
        val runs = fixture().startJob(2)
        expectThat(runs.map { it.server }.toSet()).hasSize(1)
    }

    @Test
    fun `sends no more tasks to an engine than it has slots`() {
        val fixture = fixture(engines = 1)
        expectThat(fixture.startJob(12)).hasSize(8)
    }

    @Test
    fun `uses no engine whose weights are older than the minimum version of the job`() {
        val fixture = fixture(engines = 1)
        val submitted = submission(2).copy(minimumVersion = 2)
        fixture.decide(TrafficEvent.JobStored(7, ownRecord(2), 10, submitted, emptyMap()))
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).isEmpty()
        fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-1", version = 2), plainServer("plain-1"))))
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).hasSize(2)
    }

    @Test
    fun `resumes on another engine after the last event`() {
        val fixture = fixture()
        val run = fixture.startJob(1).single()
        fixture.deliverEvents(run)
        fixture.decide(
            TrafficEvent.TaskAttemptFailed(run.job, run.task.id, run.attempt, sent = true, detail = "closed"),
        )
        val next = fixture.singleEffect<TrafficEffect.RunTask>()
        expectThat(next.lastEvent).isEqualTo(3)
        expectThat(next.server).isNotEqualTo(run.server)
    }

    @Test
    fun `rejects an event that is out of order`() {
        val fixture = fixture()
        val run = fixture.startJob(1).single()
        fixture.deliverEvents(run)
        fixture.decide(
            TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(TaskEvent(5, "e5", null))),
        )
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>()).hasSize(1)
        expectThat(
            fixture.state.jobs
                .getValue(run.job)
                .tasks
                .getValue(run.task.id)
                .lastEvent,
        ).isEqualTo(3)
    }

    @Test
    fun `reports every weight version that generated an event`() {
        val fixture = fixture()
        val run = fixture.startJob(1).single()
        fixture.deliverEvents(run)
        fixture.decide(TrafficEvent.TaskEventsArrived(run.job, run.task.id, run.attempt, listOf(TaskEvent(4, "e4", 2))))
        fixture.decide(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
        fixture.decide(response(fixture.singleEffect()))
        expectThat(
            fixture
                .singleEffect<TrafficEffect.WriteResults>()
                .batch.results
                .single()
                .versions,
        ).containsExactly(1, 2)
    }

    @Test
    fun `writes the signature of the scoring call as the score of a task`() {
        val fixture = fixture()
        fixture.complete(fixture.startJob(1).single())
        val result = fixture
            .singleEffect<TrafficEffect.WriteResults>()
            .batch.results
            .single()
        expectThat(result.state).isEqualTo(TaskState.COMPLETED)
        expectThat(result.text).isEqualTo("e1\ne2\ne3")
        expectThat(result.score).isEqualTo("signature--1")
    }

    @Test
    fun `writes one batch at a time and continues at the next position`() {
        val fixture = fixture()
        val runs = fixture.startJob(3)
        fixture.complete(runs[0])
        val batch = fixture.singleEffect<TrafficEffect.WriteResults>().batch
        expectThat(batch.firstPosition).isEqualTo(0)
        fixture.complete(runs[1])
        expectThat(fixture.effectsOf<TrafficEffect.WriteResults>()).isEmpty()
        fixture.decide(TrafficEvent.ResultsWritten(batch, 10))
        expectThat(fixture.singleEffect<TrafficEffect.WriteResults>().batch.firstPosition).isEqualTo(1)
    }

    @Test
    fun `rereads the rows after a write of unknown outcome and writes no result twice`() {
        val fixture = fixture()
        val runs = fixture.startJob(2)
        fixture.complete(runs[0])
        val lost = fixture.singleEffect<TrafficEffect.WriteResults>().batch
        fixture.decide(TrafficEvent.ResultsWriteFailed(lost, "no answer"))
        fixture.complete(runs[1])
        expectThat(fixture.effectsOf<TrafficEffect.WriteResults>()).isEmpty()
        fixture.nowMilliseconds += 300
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.ReloadJob>()).hasSize(1)
        val storedResults = listOf(runs[0].task.id)
        fixture.decide(TrafficEvent.JobLoaded(ownRecord(2), 10, submission(2), emptyMap(), storedResults))
        val batch = fixture.singleEffect<TrafficEffect.WriteResults>().batch
        expectThat(batch.firstPosition).isEqualTo(1)
        expectThat(batch.results.map { it.id }).containsExactly(runs[1].task.id)
    }

    @Test
    fun `has one pending write when two reads of the rows complete one after the other`() {
        val fixture = fixture()
        val runs = fixture.startJob(3)
        fixture.complete(runs[0])
        val lost = fixture.singleEffect<TrafficEffect.WriteResults>().batch
        fixture.decide(TrafficEvent.ResultsWriteFailed(lost, "no answer"))
        val empty = TrafficEvent.JobLoaded(ownRecord(3), 10, submission(3), emptyMap(), emptyList())
        fixture.decide(empty)
        expectThat(fixture.effectsOf<TrafficEffect.WriteResults>()).hasSize(1)
        fixture.complete(runs[1])
        fixture.decide(empty)
        expectThat(fixture.effectsOf<TrafficEffect.WriteResults>()).isEmpty()
    }

    @Test
    fun `ignores the response to a write sent before the job was lost and taken over again`() {
        val fixture = fixture()
        fixture.complete(fixture.startJob(2).first())
        val old = fixture.singleEffect<TrafficEffect.WriteResults>().batch
        fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", ownRecord(2).copy(owner = "entry-2"), 11))))
        fixture.decide(TrafficEvent.JobLoaded(ownRecord(2), 12, submission(2), emptyMap(), emptyList()))
        fixture.complete(fixture.effectsOf<TrafficEffect.RunTask>().first())
        fixture.decide(TrafficEvent.ResultsWritten(old, 10))
        val job = fixture.state.jobs.getValue("job-1")
        expectThat(job.storedResultCount).isEqualTo(0)
        expectThat(job.resultsBeingWritten).isEqualTo(1)
    }

    @Test
    fun `starts no job from rows that were read before another instance took it over`() {
        val fixture = fixture()
        val taken = ownRecord(2).copy(owner = "entry-2")
        fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", taken, 11))))
        fixture.decide(TrafficEvent.JobLoaded(ownRecord(2), 10, submission(2), emptyMap(), emptyList()))
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).isEmpty()
    }

    @Test
    fun `marks the job complete with its last results`() {
        val fixture = fixture()
        fixture.complete(fixture.startJob(1).single())
        expectThat(
            fixture
                .singleEffect<TrafficEffect.WriteResults>()
                .batch.record.complete,
        ).isTrue()
    }

    @Test
    fun `cancels the tasks of a job that was ended`() {
        val fixture = fixture()
        fixture.startJob(3)
        val row = JobRow("job-1", ownRecord(3).copy(ended = true), 11)
        fixture.decide(TrafficEvent.JobRowsRead(listOf(row)))
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>()).hasSize(3)
        expectThat(
            fixture.state.backends.values
                .sumOf { it.inFlight },
        ).isEqualTo(0)
    }

    @Test
    fun `cancels the tasks of a job that another instance took over`() {
        val fixture = fixture()
        fixture.startJob(3)
        fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", ownRecord(3).copy(owner = "entry-2"), 11))))
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>()).hasSize(3)
    }

    @Test
    fun `fails a task with a permanent error and retries one that failed once`() {
        val fixture = fixture()
        val runs = fixture.startJob(2)
        fixture.decide(
            TrafficEvent.TaskResponseReceived("job-1", runs[0].task.id, 1, 422, notRun = false, version = null),
        )
        expectThat(
            fixture
                .singleEffect<TrafficEffect.WriteResults>()
                .batch.results
                .single()
                .state,
        ).isEqualTo(TaskState.FAILED)
        fixture.decide(
            TrafficEvent.TaskResponseReceived("job-1", runs[1].task.id, 1, 500, notRun = false, version = null),
        )
        fixture.nowMilliseconds += 200
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.singleEffect<TrafficEffect.RunTask>().task.id).isEqualTo(runs[1].task.id)
    }

    @Test
    fun `takes over the job of the previous process after a restart`() {
        val fixture = fixture()
        val row = JobRow("job-1", ownRecord(2).copy(ownerIncarnation = 0), 5)
        fixture.decide(TrafficEvent.JobRowsRead(listOf(row)))
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.singleEffect<TrafficEffect.TakeOverJob>().record.ownerIncarnation).isEqualTo(1)
    }

    @Test
    fun `takes over the jobs of its previous process before it has read a heartbeat`() {
        val fixture = TrafficFixture()
        fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", ownRecord(2).copy(ownerIncarnation = 0), 5))))
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.singleEffect<TrafficEffect.TakeOverJob>().version).isEqualTo(5)
    }

    @Test
    fun `does not take over an ended job when its owner restarts`() {
        val fixture = TrafficFixture()
        val ended = ownRecord(2).copy(ownerIncarnation = 0, ended = true)
        fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", ended, 5))))
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.TakeOverJob>()).isEmpty()
    }

    @Test
    fun `assigns all jobs of a model to one live instance`() {
        val fixture = fixture()
        val live = (1..5L).map { LiveInstance("entry-$it", it) }
        fixture.decide(TrafficEvent.LiveInstancesRead(live))
        val owners = (1..4).map { number ->
            val record = ownRecord(2).copy(id = "job-$number", owner = "", ownerIncarnation = 0)
            fixture.decide(TrafficEvent.JobSubmitted(number.toLong(), record, submission(2), emptyMap()))
            fixture.singleEffect<TrafficEffect.StoreJob>().record.owner
        }
        expectThat(owners.toSet()).hasSize(1)
    }

    @Test
    fun `loads a job that another instance accepted and assigned to this one`() {
        val fixture = fixture()
        fixture.decide(TrafficEvent.JobRowsRead(listOf(JobRow("job-1", ownRecord(2), 5))))
        expectThat(fixture.effectsOf<TrafficEffect.ReloadJob>()).hasSize(1)
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.ReloadJob>()).isEmpty()
        fixture.nowMilliseconds += 1_500
        fixture.decide(TrafficEvent.Tick)
        expectThat(fixture.effectsOf<TrafficEffect.ReloadJob>()).hasSize(1)
    }
}
