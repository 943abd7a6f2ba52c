package org.mulberrypin.decisions.traffic

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.random.Random

/**
 * Load pattern: a request or a task crashes each server that begins to run it, beside sound work, and servers crash in
 * bursts under sound work. Guards against sending the first on and on, and against never placing the second again.
 */
class CrashingWorkTest {
    @Test
    fun `a request that crashed three servers reaches none for long, at any instance, and refusals are true`() {
        for (seed in SEEDS) {
            val model = CrashModel(Random(seed), setOf("poison"))
            repeat(14) { repetition ->
                model.arrive(repetition % CrashModel.INSTANCES, request = 100L + repetition, content = "poison")
                model.arrive(
                    repetition % CrashModel.INSTANCES,
                    request = 200L + repetition,
                    content = "sound-$repetition",
                )
                model.runUntil(model.nowMilliseconds + 2_000)
            }
            expectThat(model.laterSends("poison")).isLessThanOrEqualTo(ALLOWED_LATER)
            expectThat(model.sends.count { it.subject == "poison" }).isGreaterThanOrEqualTo(3)
            model.replies.values.forEach { reply ->
                expectThat(reply.status).isNotEqualTo(0)
                if (reply.status == 503) expectThat(reply.hasRun).isEqualTo(false)
            }
            expectThat(
                model.replies
                    .filterKeys { it >= 200 }
                    .values
                    .count { it.status != 200 },
            ).isLessThanOrEqualTo(2)
        }
    }

    @Test
    fun `a task that crashes engines waits longer and longer, and the others of its job are completed`() {
        for (seed in SEEDS) {
            val model = CrashModel(Random(seed), setOf("task-3"))
            model.startJob(40)
            model.runUntil(26_000)
            expectThat(model.laterSends("task-3")).isLessThanOrEqualTo(ALLOWED_LATER)
            expectThat(model.completedTasks.size).isEqualTo(39)
        }
    }

    @Test
    fun `two tasks that crash engines at the same time are each held back`() {
        for (seed in SEEDS) {
            val model = CrashModel(Random(seed), setOf("task-3", "task-4"))
            model.startJob(8)
            model.runUntil(26_000)
            expectThat(model.laterSends("task-3")).isLessThanOrEqualTo(ALLOWED_LATER)
            expectThat(model.laterSends("task-4")).isLessThanOrEqualTo(ALLOWED_LATER)
            expectThat(model.completedTasks.size).isEqualTo(6)
        }
    }

    @Test
    fun `a scoring call that crashes servers is sent ever less often`() {
        for (seed in SEEDS) {
            val model = CrashModel(Random(seed), setOf("score-2"))
            model.startJob(8)
            model.runUntil(26_000)
            expectThat(model.laterSends("score-2")).isLessThanOrEqualTo(ALLOWED_LATER)
            expectThat(model.completedTasks.size).isEqualTo(7)
        }
    }

    @Test
    fun `sound tasks keep their place in bursts of crashes and are all completed`() {
        for (seed in SEEDS) {
            val model = CrashModel(Random(seed), emptySet(), burstsOfCrashes())
            model.startJob(40)
            model.runUntil(LAST_CRASH_MILLISECONDS + CALM_MILLISECONDS)
            expectThat(model.completedTasks.size).isEqualTo(40)
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4])
    fun `a sound task under which servers crashed is placed again within five seconds and completed`(crashes: Int) {
        for (seed in SEEDS) {
            val model = CrashModel(Random(seed), emptySet(), unlucky = mapOf("task-5" to crashes))
            model.startJob(40)
            model.runUntil(16_000)
            expectThat(model.completedTasks.size).isEqualTo(40)
            val times = model.sends.filter { it.subject == "task-5" }.map { it.milliseconds }
            expectThat(times).hasSize(crashes + 1)
            expectThat(times[crashes] - times[crashes - 1]).isLessThanOrEqualTo(MAX_WAIT_MILLISECONDS)
        }
    }

    @Test
    fun `sound tasks beside a crashing one are completed in bursts of crashes, and it is not sent on and on`() {
        for (seed in SEEDS) {
            val model = CrashModel(Random(seed), setOf("task-3"), burstsOfCrashes())
            model.startJob(40)
            model.runUntil(LAST_CRASH_MILLISECONDS + CALM_MILLISECONDS)
            expectThat(model.laterSends("task-3")).isLessThanOrEqualTo(ALLOWED_LATER)
            expectThat(model.completedTasks.size).isEqualTo(39)
        }
    }

    @Test
    fun `a frequent sound content is not held back when several servers crash at once`() {
        val fixture = fixture(plainServers = 6)
        val sends = (1L..3L).map { request ->
            fixture.decide(arrival(request).copy(content = "frequent"))
            fixture.singleEffect<TrafficEffect.Send>()
        }
        fixture.nowMilliseconds += 10
        sends.forEach {
            fixture.decide(
                TrafficEvent.AttemptFailed(it.request, it.attempt, sent = true, "lost", connectionLost = true),
            )
        }
        expectThat(
            fixture.state.suspects
                .getValue("frequent")
                .crashes,
        ).isLessThan(3)
    }

    @Test
    fun `crashes after events of the task are not held against it`() {
        val fixture = fixture(engines = 8)
        var run = fixture.startJob(1).single()
        repeat(5) { crash ->
            fixture.deliverEvents(run, crash * 3 + 1L..crash * 3 + 3L)
            fixture.decide(TrafficEvent.TaskAttemptFailed(run.job, run.task.id, run.attempt, true, "lost", true))
            run = fixture.singleEffect<TrafficEffect.RunTask>()
        }
        fixture.decide(TrafficEvent.TaskAttemptFailed(run.job, run.task.id, run.attempt, true, "lost", true))
        expectThat(fixture.effectsOf<TrafficEffect.RunTask>()).hasSize(1)
    }

    @Test
    fun `a suspect goes to a busy engine when none is empty for a second`() {
        val fixture = fixture(engines = 2)
        val runs = fixture.startJob(12)
        val suspect = runs.last()
        fixture.decide(
            TrafficEvent.TaskAttemptFailed(suspect.job, suspect.task.id, suspect.attempt, true, "lost", true),
        )
        val second = fixture.singleEffect<TrafficEffect.RunTask>()
        fixture.decide(TrafficEvent.TaskAttemptFailed(second.job, second.task.id, second.attempt, true, "lost", true))
        val begin = fixture.nowMilliseconds
        while (fixture.effectsOf<TrafficEffect.RunTask>().none { it.task.id == suspect.task.id }) {
            fixture.nowMilliseconds += 50
            fixture.decide(TrafficEvent.Tick)
            expectThat(fixture.nowMilliseconds - begin).isLessThan(2_000)
        }
        expectThat(fixture.nowMilliseconds - begin).isGreaterThanOrEqualTo(1_000)
    }

    /** Sends that reach a server later than the time of contact after the third crash of [subject]. */
    private fun CrashModel.laterSends(subject: String): Int {
        val times = sends.filter { it.subject == subject }.map { it.milliseconds }
        val third = times.getOrNull(2) ?: return 0
        return times.count { it > third + CONTACT_MILLISECONDS }
    }

    private fun burstsOfCrashes(): Map<Long, Double> =
        listOf(2_000L, 8_000L, LAST_CRASH_MILLISECONDS - 1_600)
            .flatMap { start -> (0L..4L).map { start + it * 400 } }
            .associateWith { 0.3 }

    private companion object {
        private val SEEDS = 1..50
        private const val ALLOWED_LATER = 3

        /** Longest time at no engine after which a step may lose a task for it. */
        private const val MAX_WAIT_MILLISECONDS = 5_000L
        private const val CONTACT_MILLISECONDS = 3_000L
        private const val LAST_CRASH_MILLISECONDS = 15_600L

        /** Time in which a task must be done once crashes have ended: contact, five seconds and its work. */
        private const val CALM_MILLISECONDS = 9_000L
    }
}
