package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.JobSubmission
import org.mulberrypin.schema.generated.JobTask
import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.ServingTeam
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan

/** Load: the steps of two trainers on engines with fewer slots than the steps have tasks. */
class GroupsBeforeItemsTest {
    @Test
    fun `jobs of equal rank share the slots by expected tokens and not by age or count`() {
        val fixture = fixture(engines = 0)
        fixture.start("old", "team-a", groups = 6, hint = 100)
        fixture.start("new", "team-b", groups = 6, hint = 25)
        fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-1", slots = 5))))
        val runs = fixture.effectsOf<TrafficEffect.RunTask>()
        expectThat(runs.count { it.job == "old" }).isEqualTo(1)
        expectThat(runs.count { it.job == "new" }).isEqualTo(4)
    }

    @Test
    fun `a team's priority goes before that of its route`() {
        val fixture = fixture(engines = 0)
        val routes = configuration(RequestKind.IDEMPOTENT).routes.map { it.copy(priority = 3) }
        val teams = listOf(ServingTeam("team-a"), ServingTeam("team-b", priority = -1))
        fixture.decide(
            TrafficEvent.ConfigurationChanged(
                configuration(RequestKind.IDEMPOTENT).copy(routes = routes, teams = teams),
            ),
        )
        fixture.start("old", "team-a", groups = 4, hint = 10)
        fixture.start("new", "team-b", groups = 2, hint = 10)
        fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-1", slots = 4))))
        val runs = fixture.effectsOf<TrafficEffect.RunTask>()
        expectThat(runs.map { it.job }).containsExactly("new", "new", "new", "new")
        expectThat(runs.map { it.priority }.toSet()).containsExactly(0)
    }

    @Test
    fun `with a slot for each task all start as they were submitted`() {
        val fixture = fixture(engines = 0)
        fixture.start("old", "team-a", groups = 2, hint = 100)
        fixture.start("new", "team-b", groups = 1, hint = 10)
        fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-1"), engine("engine-2"))))
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>().map { it.task.id })
            .containsExactly("old-0-0", "old-0-1", "old-1-0", "old-1-1", "new-0-0", "new-0-1")
    }

    @Test
    fun `a running task whose group no longer counts yields its slot and keeps its text`() {
        val fixture = yieldingFixture()
        fixture.start("new", "team-b", groups = 1, hint = 10)
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>().map { it.task }).containsExactly("old-2-0")
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>().map { it.job }).containsExactly("new")
        expectThat(fixture.effectsOf<TrafficEffect.CountLoadDecision>().map { it.decision })
            .containsExactly(LoadDecision.YIELDED)
        val yielded = fixture.task("old", "old-2-0")
        expectThat(yielded.phase).isEqualTo(TaskPhase.WAITING)
        expectThat(yielded.lastEvent).isEqualTo(2)
        expectThat(
            fixture.state.backends
                .getValue("engine-1")
                .inFlight,
        ).isEqualTo(1)
    }

    @Test
    fun `a yielded task stays owed and goes on after its last event once a slot is left`() {
        val fixture = yieldingFixture()
        fixture.start("new", "team-b", groups = 1, hint = 10)
        fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-1", slots = 8), plainServer("plain-1"))))
        val resumed = fixture.effectsOf<TrafficEffect.RunTask>().single { it.job == "old" }
        expectThat(resumed.lastEvent).isEqualTo(2)
    }

    @Test
    fun `nothing yields to groups that are spare or while a slot is free`() {
        val fixture = yieldingFixture()
        fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-1", slots = 8), plainServer("plain-1"))))
        fixture.start("new", "team-b", groups = 1, hint = 10)
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>()).isEmpty()
    }

    @Test
    fun `a successor orders a job by its rows as the instance would have that died with its queue`() {
        val first = fixture(engines = 0)
        first.start("old", "team-a", groups = 5, hint = 20, wanted = 4)
        first.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-1"))))
        val runs = first.effectsOf<TrafficEffect.RunTask>()
        runs.filter { it.task.id.startsWith("old-2") }.forEach { first.deliverEvents(it, 1L..5L) }
        runs.filter { it.task.id.startsWith("old-3") }.forEach { first.deliverEvents(it, 1L..15L) }
        runs.forEach { run ->
            first.decide(TrafficEvent.TaskAttemptFailed(run.job, run.task.id, run.attempt, sent = true, detail = "cut"))
        }
        val job = first.state.jobs.getValue("old")
        val rows = TrafficFixture(
            first.state,
        ).decide(TrafficEvent.ReleaseJobs).filterIsInstance<TrafficEffect.ReleaseJob>()
        val hints = job.tasks.mapValues { it.value.lengthHint }
        val successor = fixture(engines = 0)
        successor.decide(
            TrafficEvent.JobLoaded(job.record, 10, job.submission, hints, emptyList(), rows.single().parts),
        )
        val orders = listOf(first, successor).map { fixture ->
            fixture.nowMilliseconds += 2_000
            fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-2", slots = 7))))
            fixture.effectsOf<TrafficEffect.RunTask>().map { it.task.id }
        }
        expectThat(orders[0].drop(4).take(2)).containsExactly("old-3-0", "old-3-1")
        expectThat(orders[1]).isEqualTo(orders[0])
    }

    @Test
    fun `length hints of zero, below zero and of a billion expect no more than a task's limit`() {
        val task = TaskProgress(JobTask(id = "task", tokens = 400), lengthHint = 0)
        val fixture = fixture()
        fixture.start("job", "team-a", groups = 1, hint = 10, wanted = 1, size = 1)
        val expected = { progress: TaskProgress ->
            fixture.state.expectedRemainingEvents(
                fixture.state.jobs.values
                    .single(),
                progress,
            )
        }
        listOf(0L, -5L, 1_000_000_000L, Long.MAX_VALUE).forEach { hint ->
            expectThat(expected(task.copy(lengthHint = hint))).isIn(1L..400L)
        }
        expectThat(expected(task)).isLessThan(expected(task.copy(lengthHint = 100)))
        expectThat(expected(task.copy(lengthHint = 50, lastEvent = 80))).isIn(20L..160L)
    }

    /** An engine with two slots and a job whose wanted groups have their texts, while a task of its last group runs. */
    private fun yieldingFixture(): TrafficFixture {
        val fixture = fixture(engines = 0)
        fixture.start("old", "team-a", groups = 3, hint = 10, wanted = 2, size = 1)
        fixture.decide(TrafficEvent.BackendsChanged(listOf(engine("engine-1", slots = 1), plainServer("plain-1"))))
        repeat(2) {
            val run = fixture.singleEffect<TrafficEffect.RunTask>()
            fixture.deliverEvents(run)
            fixture.decide(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
        }
        fixture.deliverEvents(fixture.singleEffect(), 1L..2L)
        return fixture
    }

    private fun TrafficFixture.task(
        job: String,
        task: String,
    ): TaskProgress =
        state.jobs
            .getValue(job)
            .tasks
            .getValue(task)

    private fun TrafficFixture.start(
        job: String,
        team: String,
        groups: Int,
        hint: Long,
        wanted: Int = groups,
        size: Int = 2,
    ) {
        nowMilliseconds += 1
        val tasks = (0 until groups).flatMap { group ->
            (0 until size).map { JobTask(id = "$job-$group-$it", path = "/sort/$group", group = "$job-$group") }
        }
        val submission = JobSubmission(1, MODEL, minimumVersion = 1, wantedGroups = wanted, tasks = tasks)
        val record = ownRecord(tasks.size).copy(id = job, team = team, submittedWallMilliseconds = nowMilliseconds)
        val hints = tasks.associate { it.id to hint }
        decide(TrafficEvent.JobStored(nowMilliseconds, record, 10, submission, hints))
    }
}
