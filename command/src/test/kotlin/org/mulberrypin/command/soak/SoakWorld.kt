package org.mulberrypin.command.soak

import org.mulberrypin.command.deployment.await
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.standins.deployment.StoreFault
import org.mulberrypin.standins.deployment.StreamScript
import org.mulberrypin.standins.deployment.configurationText
import org.mulberrypin.standins.deployment.startServerStandIn
import org.mulberrypin.standins.deployment.startStoreStandIn
import java.nio.file.Path
import kotlin.concurrent.thread

/** Entry instances as processes, each with its own link to the store, and engines behind links of their own. */
internal class SoakWorld(
    folder: Path,
    instances: Int,
) : AutoCloseable {
    private val clock = systemClock()
    private val store = startStoreStandIn()
    private val storeLinks = (1..instances).map { LoopbackProxy(store.address) }
    private val engineLinks = ArrayList<LoopbackProxy>()
    val processes = storeLinks.mapIndexed { index, link -> SoakProcess("entry-${index + 1}", folder, link.address) }
    val plain = startServerStandIn(store, "plain-1", "plain")
    val engines = (1..ENGINES).map { number ->
        val script = StreamScript(EVENTS_OF_TASK, EVENT_MILLISECONDS) { run, event -> "engine-$number/$run/$event" }
        startServerStandIn(store, "engine-$number", "engines", "sorter", script) { address ->
            LoopbackProxy(address).also(engineLinks::add).address
        }
    }
    private var configurations = 1
    private var weights = 1

    init {
        store.write("op", "config", configurationText(configurations))
        processes.forEach { it.start() }
    }

    /** Ports of the instances that listen. */
    fun ports(): List<Int> = processes.mapNotNull { it.port }

    /** Waits until all instances listen; a start takes long on a busy machine. */
    fun awaitInstances() = await("all instances", START_MILLISECONDS) { ports().size == processes.size }

    /** Plays the faults of [plan], each on a thread of its own, and returns when all are over. */
    fun play(plan: List<PlannedFault>) {
        val start = clock.readMilliseconds()
        val threads = plan.map { planned ->
            thread(isDaemon = true) {
                Thread.sleep((start + planned.atMilliseconds - clock.readMilliseconds()).coerceAtLeast(0))
                inflict(planned)
            }
        }
        threads.forEach { it.join() }
        heal()
    }

    private fun heal() {
        store.failWith { StoreFault.NONE }
        (storeLinks + engineLinks).forEach { it.fault = LinkFault.NONE }
        processes.forEach {
            it.signal("CONT")
            it.start()
        }
    }

    private fun inflict(planned: PlannedFault) {
        val process = processes[planned.target]
        val pause = { Thread.sleep(planned.forMilliseconds) }
        when (planned.fault) {
            SoakFault.KILL -> restart(listOf(process), pause) { it.kill() }
            SoakFault.KILL_ALL -> restart(processes, pause) { it.kill() }
            SoakFault.STOP -> restart(listOf(process), pause) { it.stop() }
            SoakFault.FREEZE -> freeze(process, pause)
            SoakFault.RELOAD -> process.signal("HUP")
            SoakFault.STORE_DOWN -> failStore(StoreFault.REFUSED, pause) { true }
            SoakFault.STORE_ANSWERS_LOST -> failStore(StoreFault.ANSWER_LOST, pause) { it.endsWith("rows-tx") }
            SoakFault.HISTORY_FORGOTTEN -> store.forgetHistory()
            SoakFault.NEW_CONFIGURATION -> changeConfiguration()
            SoakFault.NEW_WEIGHTS -> nameWeights()
            else -> inflictOnLink(planned, pause)
        }
    }

    private fun inflictOnLink(
        planned: PlannedFault,
        pause: () -> Unit,
    ) {
        val storeLink = storeLinks[planned.target]
        val engineLink = engineLinks[planned.target % ENGINES]
        when (planned.fault) {
            SoakFault.STORE_LINK_DELAYED -> disturb(storeLink, LinkFault.DELAYED, pause)
            SoakFault.STORE_LINK_HELD -> disturb(storeLink, LinkFault.REQUESTS_HELD, pause)
            SoakFault.STORE_ANSWERS_HELD -> disturb(storeLink, LinkFault.ANSWERS_HELD, pause)
            SoakFault.STORE_LINK_RESET -> storeLink.reset()
            SoakFault.ENGINE_LINK_RESET -> engineLink.reset()
            SoakFault.ENGINE_ANSWERS_HELD -> disturb(engineLink, LinkFault.ANSWERS_HELD, pause)
            else -> error("${planned.fault} is no fault of a link")
        }
    }

    private fun restart(
        some: List<SoakProcess>,
        pause: () -> Unit,
        end: (SoakProcess) -> Unit,
    ) {
        some.forEach(end)
        pause()
        some.forEach { it.start() }
    }

    private fun freeze(
        process: SoakProcess,
        pause: () -> Unit,
    ) {
        process.signal("STOP")
        pause()
        process.signal("CONT")
    }

    private fun failStore(
        fault: StoreFault,
        pause: () -> Unit,
        concerns: (String) -> Boolean,
    ) {
        store.failWith { path -> if (concerns(path)) fault else StoreFault.NONE }
        pause()
        store.failWith { StoreFault.NONE }
    }

    private fun disturb(
        link: LoopbackProxy,
        fault: LinkFault,
        pause: () -> Unit,
    ) {
        link.fault = fault
        pause()
        link.fault = LinkFault.NONE
    }

    @Synchronized
    private fun changeConfiguration() {
        configurations++
        store.write("op", "config", configurationText(configurations))
    }

    @Synchronized
    private fun nameWeights() {
        weights++
        store.write("op", "version/sorter", """{"model":"sorter","version":$weights}""")
    }

    override fun close() {
        processes.forEach { it.kill() }
        (storeLinks + engineLinks).forEach { it.close() }
        engines.forEach { it.stop() }
        plain.stop()
        store.stop()
    }

    companion object {
        const val EVENTS_OF_TASK = 60L
        private const val ENGINES = 3
        private const val START_MILLISECONDS = 120_000L
        private const val EVENT_MILLISECONDS = 25L
    }
}
