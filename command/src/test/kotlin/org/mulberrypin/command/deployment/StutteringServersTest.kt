package org.mulberrypin.command.deployment

import com.linecorp.armeria.common.HttpMethod
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.CleanupMode
import org.junit.jupiter.api.io.TempDir
import org.mulberrypin.command.soak.SoakConnections
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.standins.deployment.resultsPath
import org.mulberrypin.standins.deployment.submissionText
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

/**
 * Runs two entry processes against servers that answer twice. `-Dstuttering.seed=1` selects the seed and
 * `-Dstuttering.seconds=10` the duration; `-Dstuttering.cut=false` and `-Dstuttering.nameless=false` leave out copies
 * that break off and failures without an identifier, `-Dstuttering.copies=0` all copies. `-Dentry.class.path` runs the
 * entry processes from another build.
 */
class StutteringServersTest {
    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    lateinit var folder: Path

    private val clock = systemClock()
    private val sent = ConcurrentLinkedQueue<SentRequest>()
    private val results = ConcurrentLinkedQueue<JsonObject>()
    private val seed = java.lang.Long.getLong("stuttering.seed", 1)
    private val durationMilliseconds = Integer.getInteger("stuttering.seconds", SHORT_SECONDS) * 1_000L

    @Test
    fun `gives each caller the whole response to its own request`() {
        val plan = StutteringPlan(
            copies = System.getProperty("stuttering.copies", "0.5").toDouble(),
            cut = System.getProperty("stuttering.cut", "true").toBoolean(),
            nameless = System.getProperty("stuttering.nameless", "true").toBoolean(),
        )
        StutteringEnvironment(folder, plan, seed).use { environment ->
            run(environment)
            val findings = checkStuttering(sent, results, environment.handled, environment.suspensions)
            report(plan, findings, environment)
            expectThat(findings.map { it.kind }.distinct()).isEmpty()
            expectThat(sent.count { it.response?.first?.startsWith("HTTP/1.1 200") == true }).isGreaterThan(0)
            expectThat(results.size).isGreaterThan(0)
        }
    }

    private fun run(environment: StutteringEnvironment) {
        val end = clock.readMilliseconds() + durationMilliseconds
        val shouldContinue = { clock.readMilliseconds() < end }
        val callers = (1..CALLERS).map { StutteringCaller("r$it", environment::ports, sent, seed * SEED_STEP + it) }
        val threads = callers.map { thread(isDaemon = true) { it.runWhile(shouldContinue) } } +
            (1..TRAINERS).map { thread(isDaemon = true) { train("job-$it", environment, shouldContinue) } } +
            thread(isDaemon = true) { environment.watchStalls(shouldContinue) }
        environment.disturbWhile(shouldContinue)
        threads.forEach { it.join(JOIN_MILLISECONDS) }
        Thread.sleep(SETTLE_MILLISECONDS)
    }

    /** Submits one job after the other and keeps what is listed of each. */
    private fun train(
        name: String,
        environment: StutteringEnvironment,
        shouldContinue: () -> Boolean,
    ) {
        val connections = SoakConnections(environment::ports, seed)
        var number = 0
        while (shouldContinue()) {
            val job = "$name-${++number}"
            val body = submissionText(TASKS, 1, "$job-")
            var status: Int? = null
            while (shouldContinue() && status != ACCEPTED) {
                status = connections.call(HttpMethod.POST, "/sort/$job", job, body)?.status()?.code()
                Thread.sleep(POLL_MILLISECONDS)
            }
            var listed = emptyList<JsonObject>()
            while (shouldContinue() && listed.size < TASKS) {
                val response = connections.call(HttpMethod.GET, resultsPath(job), "")
                if (response?.status()?.isSuccess == true) listed = parse(response.contentUtf8())
                Thread.sleep(POLL_MILLISECONDS)
            }
            results.addAll(listed)
        }
    }

    private fun parse(text: String) =
        Json
            .parseToJsonElement(text)
            .jsonObject
            .getValue("results")
            .jsonArray
            .map { it.jsonObject }

    private fun report(
        plan: StutteringPlan,
        findings: List<StutteringFinding>,
        environment: StutteringEnvironment,
    ) {
        val statuses = sent
            .groupingBy {
                it.response
                    ?.first
                    ?.substringAfter(' ')
                    ?.take(STATUS_DIGITS)
            }.eachCount()
        println("stuttering seed=$seed seconds=${durationMilliseconds / 1_000} $plan requests=${sent.size} $statuses")
        println("stuttering handled=${environment.handled.size} results=${results.size} findings=${findings.size}")
        findings.groupBy { it.kind }.forEach { (kind, cases) ->
            println("stuttering kind '$kind': ${cases.size}")
            cases.take(SHOWN_CASES).forEach { println("stuttering   ${it.detail}") }
        }
    }

    private companion object {
        private const val SHORT_SECONDS = 10
        private const val CALLERS = 16
        private const val TRAINERS = 2
        private const val TASKS = 6
        private const val ACCEPTED = 202
        private const val STATUS_DIGITS = 3
        private const val SHOWN_CASES = 4
        private const val SEED_STEP = 1_000L
        private const val POLL_MILLISECONDS = 100L
        private const val SETTLE_MILLISECONDS = 300L
        private const val JOIN_MILLISECONDS = 10_000L
    }
}
