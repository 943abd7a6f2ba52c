/** Composes the duties of an entry instance on the users' platform. */
package org.mulberrypin.service.deployment

import com.linecorp.armeria.server.Server
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.traffic.TrafficEvent
import org.mulberrypin.platform.deployment.DeploymentSettings
import org.mulberrypin.platform.deployment.FrontAddresses
import org.mulberrypin.platform.deployment.FrontEndPorts
import org.mulberrypin.platform.deployment.frontServer
import org.mulberrypin.platform.deployment.httpBackendCalls
import org.mulberrypin.platform.deployment.httpClients
import org.mulberrypin.platform.deployment.httpRowStore
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicBoolean

/**
 * A running entry instance.
 *
 * @property callerPort port at which callers are served
 * @property isReady true while the instance takes work
 * @property kill ends all threads at once, as a crash does
 * @property reload notes settings that were read again; what differs from the start comes into force at the next start
 * @property drainAndStop stops the instance; callers are asked to leave and jobs are given to other instances first
 */
public data class DeploymentInstance(
    val callerPort: Int,
    val isReady: () -> Boolean,
    val kill: () -> Unit,
    val reload: (Outcome<DeploymentSettings>) -> Unit,
    val drainAndStop: () -> Unit,
)

/** Starts an entry instance; [metricsPort] is the port of the metrics. */
public fun startDeploymentInstance(
    settings: DeploymentSettings,
    metricsPort: Int,
    clock: ServiceClock,
): DeploymentInstance {
    val identity = InstanceIdentity(settings.instance, clock.readWallMilliseconds(), settings.failureDomain)
    val log = startDecisionLog(identity.name, clock)
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val clients = httpClients()
    val store = httpRowStore(clients(settings.storeAddress), settings.storeAddress)
    val backends = httpBackendCalls(clients, settings.usageAddress)
    lateinit var traffic: TrafficDuty
    val onInstances = { live: List<org.mulberrypin.decisions.traffic.LiveInstance> ->
        traffic.tell(TrafficEvent.InstancesSeen(live))
    }
    val control = ControlDuty(identity, settings, ControlPorts(store, backends, clock, log, onInstances))
    val ports = TrafficPorts(store, backends, control::countUsage, clock, log, trafficCounters(registry))
    traffic = TrafficDuty(identity, ports)
    val readiness = InstanceReadiness()
    val follow = FollowDuty(store, outlets(traffic, control, readiness), clock, log)
    val server = frontServer(addresses(settings, metricsPort), frontPorts(traffic, readiness, registry))
    server.start().join()
    traffic.start()
    control.start()
    follow.start()
    val addresses = "store=${settings.storeAddress} callers=${settings.host}:${callerPort(server)}"
    log.write("instance", identity.name, "started", inputs = "incarnation=${identity.incarnation} $addresses")
    val shutdown = DeploymentShutdown(settings.graceMilliseconds, clock, readiness, traffic, control)
    val stop = {
        server.stop()
        follow.stop()
        control.stop()
        traffic.stop()
        log.stop()
    }
    val reload = { read: Outcome<DeploymentSettings> -> noteReload(settings, read, log) }
    return DeploymentInstance(callerPort(server), readiness::isReady, stop, reload) {
        log.write("instance", identity.name, "stopping")
        shutdown.drain()
        val inputs = "underWay=${traffic.underWay} linesLeftOut=${log.droppedLines}"
        log.write("instance", identity.name, "stopped", inputs = inputs)
        stop()
    }
}

/** What makes an instance ready: a configuration, a list of backend servers, and no shutdown. */
internal class InstanceReadiness {
    val knowsConfiguration = AtomicBoolean()
    val knowsBackends = AtomicBoolean()
    val draining = AtomicBoolean()

    fun isReady(): Boolean = knowsConfiguration.get() && knowsBackends.get() && !draining.get()
}

private fun noteReload(
    settings: DeploymentSettings,
    read: Outcome<DeploymentSettings>,
    log: DecisionLog,
) = when (read) {
    is Outcome.Failure -> {
        log.write("instance", settings.instance, "settings not reloaded", inputs = read.fault.toString())
    }

    is Outcome.Success -> {
        val inputs = if (read.value == settings) "unchanged" else "in force at the next start: ${read.value}"
        log.write("instance", settings.instance, "settings reloaded", inputs = inputs)
    }
}

/** The port of the callers' address; the library's own look-up knows loopback addresses only. */
private fun callerPort(server: Server): Int =
    server
        .activePorts()
        .keys
        .first()
        .port

private fun outlets(
    traffic: TrafficDuty,
    control: ControlDuty,
    readiness: InstanceReadiness,
): FollowOutlets =
    FollowOutlets(
        onConfiguration = {
            traffic.tell(TrafficEvent.ConfigurationChanged(it))
            control.offer(ControlSignal.ListsChanged(pools = it.pools))
            readiness.knowsConfiguration.set(true)
        },
        onWeights = { control.offer(ControlSignal.ListsChanged(named = it)) },
        onBackends = {
            traffic.tell(TrafficEvent.BackendsChanged(it))
            control.offer(ControlSignal.ListsChanged(backends = it))
            readiness.knowsBackends.set(true)
        },
        onJobs = { traffic.tell(TrafficEvent.JobRowsSeen(it)) },
    )

private fun frontPorts(
    traffic: TrafficDuty,
    readiness: InstanceReadiness,
    registry: PrometheusMeterRegistry,
): FrontEndPorts =
    FrontEndPorts(
        onCall = traffic::submit,
        onLeft = { traffic.tell(TrafficEvent.CallerLeft(it)) },
        isReady = readiness::isReady,
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
