package org.mulberrypin.service.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.traffic.ResultBatch
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.manualClock
import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.TaskResult
import org.mulberrypin.schema.generated.TaskState
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against listed texts with other characters than the engine generated. */
internal class ResultTextsTest {
    private val store = ScriptedStore()
    private val jobs = JobStore(store.store, startDecisionLog("entry-1", manualClock(startMilliseconds = 0).clock))

    // Guards against a long text that is split between the halves of a character and listed with "??" in its place.
    @Test
    fun `a text that is split into pieces keeps its characters wherever the pieces end`() {
        for (offset in 0..1) {
            for (character in listOf("a", "\u00e9", "\u20ac", "\uD83C\uDF32")) {
                val result = TaskResult("task-1", TaskState.COMPLETED, "a".repeat(offset) + character.repeat(45_000))
                expectThat(listed(result, "job-$offset-${character.codePointAt(0)}")).isEqualTo(listOf(result))
            }
        }
    }

    private fun listed(
        result: TaskResult,
        job: String,
    ): List<TaskResult>? {
        val record = JobRecord(id = job)
        var version = 0L
        jobs.write(record, version = 0) { version = (it as Outcome.Success).value.let(::versionOf) }
        completeCalls()
        jobs.writeResults(ResultBatch(record, version, 0, listOf(result))) {}
        completeCalls()
        var read: List<TaskResult>? = null
        jobs.readAllResults(job) { outcome -> read = (outcome as? Outcome.Success)?.value }
        while (store.pending.isNotEmpty()) completeCalls()
        return read
    }

    private fun completeCalls() = store.pending
        .toList()
        .also { store.pending.clear() }
        .forEach { it.succeed() }

    private fun versionOf(result: TransactionResult): Long =
        (result as TransactionResult.Applied).version
}
