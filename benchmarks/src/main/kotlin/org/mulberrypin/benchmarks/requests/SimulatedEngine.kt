package org.mulberrypin.benchmarks.requests

/** One attempt of a request on an engine; a lower [priority] is served first. */
internal data class EngineJob(
    val instance: Int,
    val request: Long,
    val attempt: Int,
    val tokens: Int,
    val prefix: Long,
    val priority: Int,
)

/**
 * An engine with a fixed number of slots, a priority queue and a small LRU cache of prompt prefixes. The prefill of a
 * prompt with a cached prefix is ten times as fast.
 *
 * @property schedule schedules an action after a number of milliseconds
 * @property onStarted called when a job starts, with true if its prefix was cached
 * @property onFinished called when a job has completed
 */
internal class SimulatedEngine(
    private val slots: Int,
    private val cachedPrefixes: Int,
    private val schedule: (Long, () -> Unit) -> Unit,
    private val onStarted: (EngineJob, Boolean) -> Unit,
    private val onFinished: (EngineJob) -> Unit,
) {
    private val running = LinkedHashSet<EngineJob>()
    private val waiting = ArrayList<EngineJob>()
    private val cache = LinkedHashSet<Long>()

    val runningCount: Int
        get() = running.size

    val waitingCount: Int
        get() = waiting.size

    /** Queues a job and starts it as soon as a slot is free. */
    fun enqueue(job: EngineJob) {
        waiting.add(job)
        startWaitingJobs()
    }

    /** Removes a waiting or running job and frees its slot. */
    fun cancel(job: EngineJob) {
        waiting.remove(job)
        if (running.remove(job)) startWaitingJobs()
    }

    private fun startWaitingJobs() {
        while (running.size < slots && waiting.isNotEmpty()) {
            val job = waiting.minBy { it.priority }
            waiting.remove(job)
            start(job)
        }
    }

    private fun start(job: EngineJob) {
        val isCached = cache.remove(job.prefix)
        cache.add(job.prefix)
        if (cache.size > cachedPrefixes) cache.remove(cache.first())
        running.add(job)
        onStarted(job, isCached)
        val prefillMilliseconds = if (isCached) CACHED_PREFILL_MILLISECONDS else PREFILL_MILLISECONDS
        schedule(prefillMilliseconds + job.tokens * TOKEN_MILLISECONDS) { complete(job) }
    }

    private fun complete(job: EngineJob) {
        if (!running.remove(job)) return
        onFinished(job)
        startWaitingJobs()
    }

    private companion object {
        private const val CACHED_PREFILL_MILLISECONDS = 40L
        private const val PREFILL_MILLISECONDS = 400L
        private const val TOKEN_MILLISECONDS = 10L
    }
}
