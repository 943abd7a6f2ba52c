/** Entry processes, a store and servers that answer twice, with restarts, reused addresses and new configurations. */
package org.mulberrypin.command.deployment

import org.mulberrypin.command.soak.SoakProcess
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.standins.deployment.configurationText
import org.mulberrypin.standins.deployment.startStoreStandIn
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random

/** A server and what it is at present. */
private data class PlacedServer(
    val server: StutteringServer,
    var id: String,
    var pool: String,
)

internal class StutteringEnvironment(
    folder: Path,
    plan: StutteringPlan,
    seed: Long,
) : AutoCloseable {
    private val random = Random(seed)
    private val store = startStoreStandIn()
    val handled = ConcurrentLinkedQueue<HandledRequest>()
    private val processes = (1..INSTANCES).map { SoakProcess("entry-$it", folder, store.address) }
    private val clock = systemClock()
    private var lifetimes = 0

    /** Times during which an entry process was suspended or this process, which plays the servers, was held up. */
    val suspensions = ConcurrentLinkedQueue<LongRange>()
    private var configurationVersion = 1
    private val servers = (1..PLAIN_SERVERS + ENGINES).map {
        val pool = if (it <= PLAIN_SERVERS) StutteringServer.PLAIN else StutteringServer.ENGINES
        PlacedServer(StutteringServer(store, plan, handled, seed + it), "", pool)
    }

    init {
        store.write("op", "config", configurationText(configurationVersion))
        servers.forEach { begin(it, it.pool) }
        processes.forEach { it.start() }
        await("all instances", START_MILLISECONDS) { ports().size == processes.size }
    }

    /** Notes while [shouldContinue] returns true when this process is held up, so that its servers read late. */
    fun watchStalls(shouldContinue: () -> Boolean) {
        while (shouldContinue()) {
            val begin = clock.readMilliseconds()
            Thread.sleep(WATCH_MILLISECONDS)
            val end = clock.readMilliseconds()
            if (end - begin > STALL_MILLISECONDS) suspensions.add(begin..end)
        }
    }

    fun ports(): List<Int> = processes.mapNotNull { it.port }

    /** Changes the surroundings, one thing after the other, while [shouldContinue] returns true. */
    fun disturbWhile(shouldContinue: () -> Boolean) {
        while (shouldContinue()) {
            Thread.sleep(random.nextLong(MIN_CALM_MILLISECONDS, MAX_CALM_MILLISECONDS))
            if (shouldContinue()) disturb()
        }
        processes.forEach {
            it.signal("CONT")
            it.start()
        }
    }

    private fun disturb() {
        val process = processes.random(random)
        when (random.nextInt(DISTURBANCES)) {
            0 -> {
                servers.random(random).let { restart(listOf(it to it.pool)) }
            }

            1 -> {
                exchangeAddresses()
            }

            2 -> {
                store.write("op", "config", configurationText(++configurationVersion))
            }

            3 -> {
                servers.random(random).let {
                    it.server.register("draining")
                    pause()
                    it.server.register("ready")
                }
            }

            4 -> {
                val begin = clock.readMilliseconds()
                process.signal("STOP")
                pause()
                process.signal("CONT")
                suspensions.add(begin..clock.readMilliseconds())
            }

            5 -> {
                process.kill()
                process.start()
            }

            else -> {
                servers.random(random).let {
                    it.server.crash()
                    it.server.start(it.id, it.pool)
                }
            }
        }
    }

    /** Ends a plain server and an engine; each address is used again by a server of the other kind. */
    private fun exchangeAddresses() {
        val pair = servers.shuffled(random).distinctBy { it.pool }
        restart(pair.zip(pair.map { it.pool }.reversed()))
    }

    private fun restart(successors: List<Pair<PlacedServer, String>>) {
        val ended = successors.map { it.first.id }
        successors.forEach { it.first.server.crash() }
        pause()
        successors.forEach { (placed, pool) -> begin(placed, pool) }
        val delay = random.nextLong(MAX_PAUSE_MILLISECONDS)
        thread(isDaemon = true) {
            Thread.sleep(delay)
            ended.forEach { store.remove("servers", it) }
        }
    }

    private fun begin(
        placed: PlacedServer,
        pool: String,
    ) {
        lifetimes++
        placed.id = "i-$lifetimes"
        placed.pool = pool
        placed.server.start(placed.id, pool)
    }

    private fun pause() = Thread.sleep(random.nextLong(MIN_PAUSE_MILLISECONDS, MAX_PAUSE_MILLISECONDS))

    override fun close() {
        processes.forEach { it.kill() }
        servers.forEach { it.server.close() }
        store.stop()
    }

    private companion object {
        private const val INSTANCES = 2
        private const val PLAIN_SERVERS = 5
        private const val ENGINES = 3
        private const val WATCH_MILLISECONDS = 20L
        private const val STALL_MILLISECONDS = 100L
        private const val DISTURBANCES = 7
        private const val START_MILLISECONDS = 120_000L
        private const val MIN_CALM_MILLISECONDS = 300L
        private const val MAX_CALM_MILLISECONDS = 1_200L
        private const val MIN_PAUSE_MILLISECONDS = 100L
        private const val MAX_PAUSE_MILLISECONDS = 900L
    }
}
