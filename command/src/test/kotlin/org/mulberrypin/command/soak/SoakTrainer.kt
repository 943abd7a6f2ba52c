package org.mulberrypin.command.soak

import com.linecorp.armeria.common.HttpMethod
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.mulberrypin.decisions.traffic.HttpStatusCode
import org.mulberrypin.standins.deployment.ExecutedRequest
import org.mulberrypin.standins.deployment.resultsPath
import org.mulberrypin.standins.deployment.submissionText

/** Submits batch jobs sequentially and checks their results: a listed result must not change or move. */
internal class SoakTrainer(
    private val name: String,
    private val connections: SoakConnections,
    private val findings: Findings,
    private val executedRequests: (engine: String) -> Collection<ExecutedRequest>,
) {
    var completedJobs = 0
        private set

    /** Runs jobs while [shouldContinue] returns true; waits for the results of a job while [mayWait] returns true. */
    fun runWhile(
        shouldContinue: () -> Boolean,
        mayWait: () -> Boolean,
    ) {
        var number = 0
        while (shouldContinue()) {
            number++
            runJob("$name-$number", mayWait)
        }
    }

    private fun runJob(
        job: String,
        mayWait: () -> Boolean,
    ) {
        if (!submit(job, mayWait)) return
        var listed = emptyList<JsonObject>()
        while (listed.size < TASKS_PER_JOB && mayWait()) {
            val read = readResults(job)
            if (read != null) listed = longerListing(job, listed, read)
            Thread.sleep(PAUSE_MILLISECONDS)
        }
        if (listed.size < TASKS_PER_JOB) {
            findings.add("$job: ${listed.size} of $TASKS_PER_JOB tasks listed at the end of the wait")
        } else {
            completedJobs++
            checkResults(job, listed)
        }
    }

    private fun submit(
        job: String,
        mayWait: () -> Boolean,
    ): Boolean {
        val body = submissionText(TASKS_PER_JOB, 1, "$job-")
        while (mayWait()) {
            when (val status = connections.call(HttpMethod.POST, "/sort/$job", job, body)?.status()?.code()) {
                HttpStatusCode.ACCEPTED -> return true
                in retryable -> Thread.sleep(PAUSE_MILLISECONDS)
                else -> findings.add("$job: unexpected status $status for a valid job")
            }
        }
        return false
    }

    private fun readResults(job: String): List<JsonObject>? {
        val response = connections.call(HttpMethod.GET, resultsPath(job), "") ?: return null
        val status = response.status().code()
        if (status == HttpStatusCode.NOT_FOUND) findings.add("$job: not found although it was accepted")
        if (status != HttpStatusCode.OK) return null
        val root = Json.parseToJsonElement(response.contentUtf8()).jsonObject
        return root.getValue("results").jsonArray.map { it.jsonObject }
    }

    private fun longerListing(
        job: String,
        before: List<JsonObject>,
        after: List<JsonObject>,
    ): List<JsonObject> {
        val same = minOf(before.size, after.size)
        if (before.take(same) != after.take(same)) findings.add("$job: a listed result has changed")
        return if (after.size > before.size) after else before
    }

    private fun checkResults(
        job: String,
        results: List<JsonObject>,
    ) {
        val expected = (1..TASKS_PER_JOB).map { "$job-task-$it" }.sorted()
        if (results.map { it.text("id") }.sorted() != expected) findings.add("$job: tasks missing or listed twice")
        results.forEach(::checkResult)
    }

    private fun checkResult(result: JsonObject) {
        val id = result.text("id")
        val events = result.text("text").lines()
        val score = "signature-" + id.replace("task", "score")
        when {
            result.text("state") != "completed" -> findings.add("$id: ${result.text("state")}")
            result.text("score") != score -> findings.add("$id: score ${result.text("score")}")
            events.size.toLong() != SoakEnvironment.EVENTS_PER_TASK -> findings.add("$id: ${events.size} events")
            else -> checkEvents(id, events)
        }
    }

    /** Checks that each event follows the previous one of its run, or starts a run that resumes at this event. */
    private fun checkEvents(
        id: String,
        events: List<String>,
    ) {
        var before = ""
        events.forEachIndexed { index, event ->
            val run = event.substringBeforeLast('/')
            val isValid = run == before ||
                findExecutedRequest(run)?.let { it.id == id && it.lastEvent == index.toLong() } ?: false
            if (!isValid || event.substringAfterLast('/') != "${index + 1}") {
                findings.add("$id: event ${index + 1} is '$event' after run '$before'")
            }
            before = run
        }
    }

    private fun findExecutedRequest(run: String): ExecutedRequest? =
        executedRequests(run.substringBefore('/')).firstOrNull { it.run == run.substringAfter('/').toInt() }

    private fun JsonObject.text(name: String): String = get(name)?.jsonPrimitive?.content.orEmpty()

    private companion object {
        private const val TASKS_PER_JOB = 6
        private const val PAUSE_MILLISECONDS = 120L

        /** Outcomes after which a submission is retried: no response, or a status that allows a retry. */
        private val retryable =
            setOf(null, HttpStatusCode.UNAVAILABLE, HttpStatusCode.BAD_GATEWAY, HttpStatusCode.GATEWAY_TIMEOUT)
    }
}
