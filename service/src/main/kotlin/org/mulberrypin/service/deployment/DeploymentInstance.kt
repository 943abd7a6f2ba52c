/** Wires the duties of an entry instance to the deployment platform. */
package org.mulberrypin.service.deployment

import com.linecorp.armeria.server.Server
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.mulberrypin.decisions.capacity.CapacityMode
import org.mulberrypin.decisions.cold.ColdLimits
import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.decisions.weights.WeightEvent
import org.mulberrypin.platform.deployment.BackendCalls
import org.mulberrypin.platform.deployment.ColdListener
import org.mulberrypin.platform.deployment.DeploymentSettings
import org.mulberrypin.platform.deployment.FrontAddresses
import org.mulberrypin.platform.deployment.FrontEndPorts
import org.mulberrypin.platform.deployment.LeavingListener
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.frontServer
import org.mulberrypin.platform.deployment.httpBackendCalls
import org.mulberrypin.platform.deployment.httpClients
import org.mulberrypin.platform.deployment.httpRowStore
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/**
 * A running entry instance.
 *
 * @property callerPort port that serves callers
 * @property isReady true while the instance accepts work
 * @property stopImmediately stops all threads at once, without draining, as in a crash
 * @property logReloadedSettings logs re-read settings; changed settings take effect only at the next start
 * @property drainAndStop asks callers to reconnect elsewhere, releases jobs to other instances, then stops the instance
 */
public data class DeploymentInstance(
    val callerPort: Int,
    val isReady: () -> Boolean,
    val stopImmediately: () -> Unit,
    val logReloadedSettings: (Outcome<DeploymentSettings>) -> Unit,
    val drainAndStop: () -> Unit,
)

/**
 * Starts an entry instance and serves metrics at [metricsPort]; 0 disables metrics. [capacityMode] tells what is
 * ordered from the platform where the settings list that duty.
 */
public fun startDeploymentInstance(
    settings: DeploymentSettings,
    metricsPort: Int,
    clock: ServiceClock,
    capacityMode: CapacityMode = CapacityMode.OFF,
): DeploymentInstance {
    val identity = identityOf(settings, clock)
    val log = startDecisionLog(identity.name, clock)
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    lateinit var traffic: TrafficDuty
    lateinit var control: ControlDuty
    val onLeaving = leavingListener({ traffic }, { control })
    val onCold = coldListener { traffic }
    val clients = httpClients(onLeaving, onCold)
    val store = httpRowStore(clients(settings.storeAddress), settings.storeAddress)
    val separateClients = httpClients(onLeaving, onCold)
    val backends = httpBackendCalls(clients, settings.usageAddress, separateClients, settings.supplyAddress)
    control =
        ControlDuty(identity, settings, controlPorts(store, backends, clock, log, registry, capacityMode) { traffic })
    val coldLimits = ColdLimits(settings.coldOverage, settings.coldSlackRequests)
    traffic = TrafficDuty(identity, trafficPorts(store, backends, control, clock, log, registry), coldLimits)
    lateinit var follow: FollowDuty
    val readiness = InstanceReadiness { maxOf(traffic.millisecondsSinceTick(), follow.millisecondsSinceTick()) }
    val outlets = followOutlets(traffic, control, readiness)
    follow = FollowDuty(store, outlets, feedWaitMilliseconds(settings.contactMilliseconds), clock, log)
    registry.gauge("duty.tick.age.milliseconds", readiness) { it.millisecondsSinceTick().toDouble() }
    val server = frontServer(addresses(settings, metricsPort), frontPorts(traffic, readiness, registry))
    server.start().join()
    traffic.start()
    control.start()
    follow.start()
    log.write("instance", identity.name, "started", inputs = startInputs(identity, settings, server))
    val shutdown = DeploymentShutdown(settings.graceMilliseconds, clock, readiness, traffic, control)
    val stopAll = {
        server.stop()
        follow.stop()
        control.stop()
        traffic.stop()
        log.stop()
    }
    val logReloadedSettings = { reloaded: Outcome<DeploymentSettings> -> logReload(settings, reloaded, log) }
    return DeploymentInstance(callerPort(server), readiness::isReady, stopAll, logReloadedSettings) {
        log.write("instance", identity.name, "stopping")
        shutdown.drain()
        val inputs = "underWay=${traffic.inFlightCount} linesLeftOut=${log.droppedLines}"
        log.write("instance", identity.name, "stopped", inputs = inputs)
        stopAll()
    }
}

private fun startInputs(
    identity: InstanceIdentity,
    settings: DeploymentSettings,
    server: Server,
): String =
    "incarnation=${identity.incarnation} store=${settings.storeAddress} callers=${settings.host}:${callerPort(server)}"

/** Tells the traffic duty how long a backend server stays cold. */
private fun coldListener(traffic: () -> TrafficDuty): ColdListener =
    { server, started, milliseconds -> traffic().enqueue(TrafficEvent.ServerCold(server, started, milliseconds)) }

/** Tells both duties that choose backend servers of one that is leaving; they exist once the first response arrives. */
private fun leavingListener(
    traffic: () -> TrafficDuty,
    control: () -> ControlDuty,
): LeavingListener =
    { server, started ->
        traffic().enqueue(TrafficEvent.ServerLeaving(server, started))
        control().offer(ControlSignal.Weights(WeightEvent.ServerLeaving(server, started)))
    }

private fun controlPorts(
    store: RowStore,
    backends: BackendCalls,
    clock: ServiceClock,
    log: DecisionLog,
    registry: MeterRegistry,
    capacityMode: CapacityMode,
    traffic: () -> TrafficDuty,
): ControlPorts =
    ControlPorts(
        store = store,
        backends = backends,
        clock = clock,
        log = log,
        runsJobs = { traffic().runsJobs },
        onInstances = { traffic().enqueue(TrafficEvent.LiveInstancesRead(it)) },
        capacityMode = capacityMode,
        divisionGauges = divisionGauges(registry),
        onDivisions = { traffic().enqueue(TrafficEvent.DivisionsRead(it)) },
        onCrashRecords = { traffic().enqueue(TrafficEvent.CrashRecordsRead(it)) },
    )

private fun trafficPorts(
    store: RowStore,
    backends: BackendCalls,
    control: ControlDuty,
    clock: ServiceClock,
    log: DecisionLog,
    registry: PrometheusMeterRegistry,
): TrafficPorts =
    TrafficPorts(
        store = store,
        backends = backends,
        countUsage = control::countUsage,
        clock = clock,
        log = log,
        counters = trafficCounters(registry),
        announceCrashes = { control.offer(ControlSignal.CrashesAnnounced(it)) },
        stateDemand = { control.offer(ControlSignal.DemandStated(it)) },
    )

private fun identityOf(
    settings: DeploymentSettings,
    clock: ServiceClock,
): InstanceIdentity =
    InstanceIdentity(settings.instance, clock.readWallMilliseconds(), settings.failureDomain, settings.capacity)

/**
 * Readiness state: an instance is ready once it has a configuration and a backend server list, until it drains, unless
 * one of the duties that serve callers has stalled.
 *
 * @property millisecondsSinceTick time since the last tick of the duty that has not ticked for longest, in milliseconds
 */
internal class InstanceReadiness(
    val millisecondsSinceTick: () -> Long,
) {
    val hasConfiguration = AtomicBoolean()
    val hasBackends = AtomicBoolean()
    val draining = AtomicBoolean()
    val refusing = AtomicBoolean()

    /** Number of calls whose head has arrived and whose response is not written yet. */
    val openCalls = AtomicInteger()

    fun isReady(): Boolean =
        hasConfiguration.get() && hasBackends.get() && !draining.get() &&
            millisecondsSinceTick() < STALL_MILLISECONDS

    private companion object {
        /** Time without a tick after which a duty counts as stalled, in milliseconds; fifty times the tick interval. */
        private const val STALL_MILLISECONDS = 5_000L
    }
}

private fun logReload(
    settings: DeploymentSettings,
    reloaded: Outcome<DeploymentSettings>,
    log: DecisionLog,
) = when (reloaded) {
    is Outcome.Failure -> {
        log.write("instance", settings.instance, "settings not reloaded", inputs = reloaded.fault.toString())
    }

    is Outcome.Success -> {
        val inputs = if (reloaded.value == settings) "unchanged" else "in force at the next start: ${reloaded.value}"
        log.write("instance", settings.instance, "settings reloaded", inputs = inputs)
    }
}

/** The bound port of the callers' address; `Server.activeLocalPort` of the library covers loopback addresses only. */
private fun callerPort(server: Server): Int =
    server
        .activePorts()
        .keys
        .first()
        .port

private fun followOutlets(
    traffic: TrafficDuty,
    control: ControlDuty,
    readiness: InstanceReadiness,
): FollowOutlets =
    FollowOutlets(
        onEvacuations = {
            traffic.enqueue(TrafficEvent.DomainsEvacuated(it))
            control.offer(ControlSignal.ListsChanged(evacuatedDomains = it))
        },
        onConfiguration = {
            traffic.enqueue(TrafficEvent.ConfigurationChanged(it))
            control.offer(ControlSignal.ListsChanged(pools = it.pools))
            readiness.hasConfiguration.set(true)
        },
        onWeights = { named ->
            traffic.enqueue(TrafficEvent.VersionsNamed(named.associate { it.model to it.version }))
            control.offer(ControlSignal.ListsChanged(namedWeights = named))
        },
        onBackends = {
            traffic.enqueue(TrafficEvent.BackendsChanged(it))
            control.offer(ControlSignal.ListsChanged(backends = it))
            readiness.hasBackends.set(true)
        },
        onJobs = { traffic.enqueue(TrafficEvent.JobRowsRead(it)) },
    )

private fun frontPorts(
    traffic: TrafficDuty,
    readiness: InstanceReadiness,
    registry: PrometheusMeterRegistry,
): FrontEndPorts =
    FrontEndPorts(
        onCall = traffic::submit,
        onDisconnect = { traffic.enqueue(TrafficEvent.CallerDisconnected(it)) },
        isReady = readiness::isReady,
        onOpened = { readiness.openCalls.incrementAndGet() },
        onClosed = { readiness.openCalls.decrementAndGet() },
        isRefusing = readiness.refusing::get,
        isDraining = readiness.draining::get,
        scrape = registry::scrape,
    )

private fun addresses(
    settings: DeploymentSettings,
    metricsPort: Int,
): FrontAddresses =
    FrontAddresses(
        callers = socketAddress(settings.frontAddress),
        readiness = socketAddress(settings.readyAddress),
        metrics = if (metricsPort > 0) InetSocketAddress(settings.host, metricsPort) else null,
    )

private fun socketAddress(text: String): InetSocketAddress =
    InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
