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

/** Entry instances in separate processes, each with its own proxied link to the store, and engines behind proxies. */
internal class SoakEnvironment(
    folder: Path,
    instances: Int,
) : AutoCloseable {
    private val clock = systemClock()
    private val store = startStoreStandIn()
    private val storeLinks = (1..instances).map { LoopbackProxy(store.address) }
    private val engineLinks = ArrayList<LoopbackProxy>()
    val processes = storeLinks.mapIndexed { index, link -> SoakProcess("entry-${index + 1}", folder, link.address) }
    val plainService = startServerStandIn(store, "plain-1", "plain")
    val engines = (1..ENGINE_COUNT).map { number ->
        val script = StreamScript(EVENTS_PER_TASK, EVENT_INTERVAL_MILLISECONDS) { run, event ->
            "engine-$number/$run/$event"
        }
        startServerStandIn(store, "engine-$number", "engines", "sorter", script) { address ->
            LoopbackProxy(address).also(engineLinks::add).address
        }
    }
    private var configurationVersion = 1
    private var weightVersion = 1

    init {
        store.write("op", "config", configurationText(configurationVersion))
        processes.forEach { it.start() }
    }

    /** Ports for callers of the instances whose latest start has logged its port. */
    fun ports(): List<Int> = processes.mapNotNull { it.port }

    /** Waits until every instance has logged its port. */
    fun awaitInstances() = await("all instances", START_TIMEOUT_MILLISECONDS) { ports().size == processes.size }

    /** Injects the faults of [plan], each on its own thread, and returns when all have ended and been cleared. */
    fun inject(plan: List<PlannedFault>) {
        val start = clock.readMilliseconds()
        val threads = plan.map { planned ->
            thread(isDaemon = true) {
                Thread.sleep((start + planned.startMilliseconds - clock.readMilliseconds()).coerceAtLeast(0))
                inject(planned)
            }
        }
        threads.forEach { it.join() }
        clearFaults()
    }

    private fun clearFaults() {
        store.setFaults { StoreFault.NONE }
        (storeLinks + engineLinks).forEach { it.fault = LinkFault.NONE }
        processes.forEach {
            it.signal("CONT")
            it.start()
        }
    }

    private fun inject(planned: PlannedFault) {
        val process = processes[planned.target]
        val pause = { Thread.sleep(planned.durationMilliseconds) }
        when (planned.fault) {
            SoakFault.INSTANCE_KILLED -> restart(listOf(process), pause) { it.kill() }
            SoakFault.ALL_INSTANCES_KILLED -> restart(processes, pause) { it.kill() }
            SoakFault.INSTANCE_STOPPED -> restart(listOf(process), pause) { it.stop() }
            SoakFault.INSTANCE_SUSPENDED -> suspendProcess(process, pause)
            SoakFault.SETTINGS_RELOADED -> process.signal("HUP")
            SoakFault.STORE_UNAVAILABLE -> failStore(StoreFault.REFUSED, pause) { true }
            SoakFault.STORE_RESPONSES_LOST -> failStore(StoreFault.ANSWER_LOST, pause) { it.endsWith("rows-tx") }
            SoakFault.STORE_HISTORY_DROPPED -> store.clearHistory()
            SoakFault.NEW_CONFIGURATION -> changeConfiguration()
            SoakFault.NEW_WEIGHTS -> publishWeights()
            else -> injectOnLink(planned, pause)
        }
    }

    private fun injectOnLink(
        planned: PlannedFault,
        pause: () -> Unit,
    ) {
        val storeLink = storeLinks[planned.target]
        val engineLink = engineLinks[planned.target % ENGINE_COUNT]
        when (planned.fault) {
            SoakFault.STORE_LINK_DELAYED -> failLink(storeLink, LinkFault.DELAYED, pause)
            SoakFault.STORE_REQUESTS_WITHHELD -> failLink(storeLink, LinkFault.REQUESTS_WITHHELD, pause)
            SoakFault.STORE_RESPONSES_WITHHELD -> failLink(storeLink, LinkFault.RESPONSES_WITHHELD, pause)
            SoakFault.STORE_LINK_RESET -> storeLink.reset()
            SoakFault.ENGINE_LINK_RESET -> engineLink.reset()
            SoakFault.ENGINE_RESPONSES_WITHHELD -> failLink(engineLink, LinkFault.RESPONSES_WITHHELD, pause)
            else -> error("${planned.fault} is not a link fault")
        }
    }

    private fun restart(
        stopped: List<SoakProcess>,
        pause: () -> Unit,
        end: (SoakProcess) -> Unit,
    ) {
        stopped.forEach(end)
        pause()
        stopped.forEach { it.start() }
    }

    private fun suspendProcess(
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
        affects: (String) -> Boolean,
    ) {
        store.setFaults { path -> if (affects(path)) fault else StoreFault.NONE }
        pause()
        store.setFaults { StoreFault.NONE }
    }

    private fun failLink(
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
        configurationVersion++
        store.write("op", "config", configurationText(configurationVersion))
    }

    @Synchronized
    private fun publishWeights() {
        weightVersion++
        store.write("op", "version/sorter", """{"model":"sorter","version":$weightVersion}""")
    }

    override fun close() {
        processes.forEach { it.kill() }
        (storeLinks + engineLinks).forEach { it.close() }
        engines.forEach { it.stop() }
        plainService.stop()
        store.stop()
    }

    companion object {
        const val EVENTS_PER_TASK = 60L
        private const val ENGINE_COUNT = 3

        /** Long enough for the slow start of a JVM on a loaded host. */
        private const val START_TIMEOUT_MILLISECONDS = 120_000L

        /** Time between two events of an engine, in milliseconds. */
        private const val EVENT_INTERVAL_MILLISECONDS = 25L
    }
}
