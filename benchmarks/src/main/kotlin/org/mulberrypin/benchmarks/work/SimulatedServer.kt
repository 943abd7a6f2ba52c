package org.mulberrypin.benchmarks.work

import org.mulberrypin.decisions.work.LoadReport
import kotlin.math.min
import kotlin.random.Random

/**
 * A server with a number of slots and a queue. Its machine has a speed of its own and is slower at times, for the
 * length of an interval; which intervals are slow is drawn from [seed] alone, so that it is the same for all policies.
 */
internal class SimulatedServer(
    val name: String,
    val speed: Double,
    val failureDomain: Int,
    private val slots: Int,
    private val seed: Int,
) {
    private val queue = ArrayDeque<SimulatedRequest>()
    private var running = 0

    fun report(nowMilliseconds: Double): LoadReport =
        LoadReport(running, queue.size, slots, (slowness(nowMilliseconds) * PERCENT).toInt())

    /** Queues a request; returns the requests that begin now, with the times at which they end. */
    fun enqueue(
        request: SimulatedRequest,
        nowMilliseconds: Double,
    ): List<Pair<SimulatedRequest, Double>> {
        queue.add(request)
        return begin(nowMilliseconds)
    }

    fun finish(nowMilliseconds: Double): List<Pair<SimulatedRequest, Double>> {
        running--
        return begin(nowMilliseconds)
    }

    private fun begin(nowMilliseconds: Double): List<Pair<SimulatedRequest, Double>> {
        val begun = ArrayList<Pair<SimulatedRequest, Double>>()
        while (running < slots && queue.isNotEmpty()) {
            running++
            val request = queue.removeFirst()
            begun += request to endOf(request.workMilliseconds, nowMilliseconds)
        }
        return begun
    }

    private fun endOf(
        workMilliseconds: Double,
        beginMilliseconds: Double,
    ): Double {
        var left = workMilliseconds
        var now = beginMilliseconds
        while (true) {
            val rate = speed / slowness(now)
            val intervalEnd = (now / INTERVAL_MILLISECONDS).toLong() * INTERVAL_MILLISECONDS + INTERVAL_MILLISECONDS
            val done = min(left, (intervalEnd - now) * rate)
            left -= done
            if (left <= SMALLEST_WORK) return now + done / rate
            now = intervalEnd
        }
    }

    private fun slowness(nowMilliseconds: Double): Double {
        val interval = (nowMilliseconds / INTERVAL_MILLISECONDS).toInt()
        return if (Random(seed * INTERVALS + interval).nextDouble() < SLOW_SHARE) SLOWNESS else 1.0
    }

    companion object {
        private const val INTERVAL_MILLISECONDS = 600.0
        private const val INTERVALS = 10_000
        private const val SLOW_SHARE = 0.15
        private const val SLOWNESS = 2.5
        private const val PERCENT = 100
        private const val SMALLEST_WORK = 1e-9

        /** Mean share of its speed that a server works at. */
        const val MEAN_RATE = 1 - SLOW_SHARE + SLOW_SHARE / SLOWNESS
    }
}
