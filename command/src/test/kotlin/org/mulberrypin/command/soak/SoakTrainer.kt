package org.mulberrypin.command.soak

import com.linecorp.armeria.common.HttpMethod
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.mulberrypin.decisions.traffic.ReplyStatus
import org.mulberrypin.standins.deployment.RanRequest
import org.mulberrypin.standins.deployment.resultsPath
import org.mulberrypin.standins.deployment.submissionText

/** Submits one batch job after the other and checks what is listed; results keep their positions and texts. */
internal class SoakTrainer(
    private val name: String,
    private val connections: SoakConnections,
    private val findings: Findings,
    private val ran: (engine: String) -> Collection<RanRequest>,
) {
    var wholeJobs = 0
        private set

    /** Runs jobs until [goesOn] says no more; the last one is awaited until [patience] ends too. */
    fun runWhile(
        goesOn: () -> Boolean,
        patience: () -> Boolean,
    ) {
        var number = 0
        while (goesOn()) {
            number++
            runJob("$name-$number", patience)
        }
    }

    private fun runJob(
        job: String,
        patience: () -> Boolean,
    ) {
        if (!submit(job, patience)) return
        var listed = emptyList<JsonObject>()
        while (listed.size < TASKS && patience()) {
            val read = read(job)
            if (read != null) listed = compared(job, listed, read)
            Thread.sleep(PAUSE_MILLISECONDS)
        }
        if (listed.size < TASKS) {
            findings.add("$job: ${listed.size} of $TASKS tasks listed at the end")
        } else {
            wholeJobs++
            check(job, listed)
        }
    }

    private fun submit(
        job: String,
        patience: () -> Boolean,
    ): Boolean {
        val body = submissionText(TASKS, 1, "$job-")
        while (patience()) {
            when (val status = connections.call(HttpMethod.POST, "/sort/$job", job, body)?.status()?.code()) {
                ReplyStatus.ACCEPTED -> return true
                in passing -> Thread.sleep(PAUSE_MILLISECONDS)
                else -> findings.add("$job: status $status for a proper job")
            }
        }
        return false
    }

    private fun read(job: String): List<JsonObject>? {
        val answer = connections.call(HttpMethod.GET, resultsPath(job), "") ?: return null
        val status = answer.status().code()
        if (status == ReplyStatus.NOT_FOUND) findings.add("$job: not found after it was accepted")
        if (status != ReplyStatus.OK) return null
        val root = Json.parseToJsonElement(answer.contentUtf8()).jsonObject
        return root.getValue("results").jsonArray.map { it.jsonObject }
    }

    private fun compared(
        job: String,
        before: List<JsonObject>,
        after: List<JsonObject>,
    ): List<JsonObject> {
        val same = minOf(before.size, after.size)
        if (before.take(same) != after.take(same)) findings.add("$job: a listed result has changed")
        return if (after.size > before.size) after else before
    }

    private fun check(
        job: String,
        results: List<JsonObject>,
    ) {
        val expected = (1..TASKS).map { "$job-task-$it" }.sorted()
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
            events.size.toLong() != SoakWorld.EVENTS_OF_TASK -> findings.add("$id: ${events.size} events")
            else -> checkEvents(id, events)
        }
    }

    /** Each event is the next of its run, or the first of a run that was asked to go on there. */
    private fun checkEvents(
        id: String,
        events: List<String>,
    ) {
        var before = ""
        events.forEachIndexed { index, event ->
            val run = event.substringBeforeLast('/')
            val isBegun = run == before || ranOf(run)?.let { it.id == id && it.lastEvent == index.toLong() } ?: false
            if (!isBegun || event.substringAfterLast('/') != "${index + 1}") {
                findings.add("$id: event ${index + 1} is '$event' after run '$before'")
            }
            before = run
        }
    }

    private fun ranOf(run: String): RanRequest? =
        ran(run.substringBefore('/')).firstOrNull { it.run == run.substringAfter('/').toInt() }

    private fun JsonObject.text(name: String): String = get(name)?.jsonPrimitive?.content.orEmpty()

    private companion object {
        private const val TASKS = 6
        private const val PAUSE_MILLISECONDS = 120L

        /** What ends a submission for now: no answer, or one that asks to come again. */
        private val passing =
            setOf(null, ReplyStatus.UNAVAILABLE, ReplyStatus.BAD_GATEWAY, ReplyStatus.GATEWAY_TIMEOUT)
    }
}
