package org.mulberrypin.benchmarks.requests

/** A request on an engine. */
internal data class EngineJob(
    val instance: Int,
    val request: Long,
    val attempt: Int,
    val tokens: Int,
    val prefix: Long,
    val priority: Int,
)

/**
 * An engine with a fixed number of slots, a queue by priority and a small cache of prompt prefixes, least recently
 * used first out. A prompt whose start is cached is read ten times as fast.
 *
 * @property later runs an action after a number of milliseconds
 * @property started called when a job starts, with true when its prefix was cached
 * @property finished called when a job has ended
 */
internal class SimulatedEngine(
    private val slots: Int,
    private val cachedPrefixes: Int,
    private val later: (Long, () -> Unit) -> Unit,
    private val started: (EngineJob, Boolean) -> Unit,
    private val finished: (EngineJob) -> Unit,
) {
    private val running = LinkedHashSet<EngineJob>()
    private val waiting = ArrayList<EngineJob>()
    private val cache = LinkedHashSet<Long>()

    val runningCount: Int
        get() = running.size

    val waitingCount: Int
        get() = waiting.size

    fun accept(job: EngineJob) {
        waiting.add(job)
        fill()
    }

    fun cancel(job: EngineJob) {
        waiting.remove(job)
        if (running.remove(job)) fill()
    }

    private fun fill() {
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
        started(job, isCached)
        val readMilliseconds = if (isCached) CACHED_MILLISECONDS else UNCACHED_MILLISECONDS
        later(readMilliseconds + job.tokens * TOKEN_MILLISECONDS) { end(job) }
    }

    private fun end(job: EngineJob) {
        if (!running.remove(job)) return
        finished(job)
        fill()
    }

    private companion object {
        private const val CACHED_MILLISECONDS = 40L
        private const val UNCACHED_MILLISECONDS = 400L
        private const val TOKEN_MILLISECONDS = 10L
    }
}
