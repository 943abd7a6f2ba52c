/** Entry instances, a stand-in of the store and stand-ins of backend servers in one process. */
package org.mulberrypin.command.deployment

import kotlinx.serialization.json.JsonObject
import org.mulberrypin.platform.deployment.DeploymentSettings
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.service.deployment.DeploymentInstance
import org.mulberrypin.service.deployment.startDeploymentInstance
import org.mulberrypin.standins.deployment.CallerStandIn
import org.mulberrypin.standins.deployment.ServerStandIn
import org.mulberrypin.standins.deployment.StoreStandIn
import org.mulberrypin.standins.deployment.callerStandIn
import org.mulberrypin.standins.deployment.configurationText
import org.mulberrypin.standins.deployment.startServerStandIn
import org.mulberrypin.standins.deployment.startStoreStandIn

internal class DeploymentWorld : AutoCloseable {
    val store: StoreStandIn = startStoreStandIn()
    val plain: ServerStandIn = startServerStandIn(store, "plain-1", "plain")
    val engines: List<ServerStandIn> = (1..2).map { startServerStandIn(store, "engine-$it", "engines", "sorter") }
    private val instances = ArrayList<DeploymentInstance>()

    init {
        store.write("op", "config", configurationText(version = 1))
    }

    fun start(name: String): DeploymentInstance {
        val settings = DeploymentSettings(
            instance = name,
            failureDomain = "zone-a",
            host = "127.0.0.1",
            frontAddress = "127.0.0.1:0",
            readyAddress = "127.0.0.1:0",
            storeAddress = store.address,
            usageAddress = null,
            usageWindowMilliseconds = 5_000,
            leaseMilliseconds = 3_000,
            graceMilliseconds = 4_000,
        )
        val instance = startDeploymentInstance(settings, 0, systemClock())
        instances.add(instance)
        await("$name ready") { instance.isReady() }
        return instance
    }

    fun caller(instance: DeploymentInstance): CallerStandIn = callerStandIn(instance.callerPort)

    /** Reads the results of a job at [instance] until all are listed. */
    fun readAll(
        instance: DeploymentInstance,
        job: String,
        total: Int,
    ): List<JsonObject> {
        var results = emptyList<JsonObject>()
        await("results of $job") {
            results = caller(instance).results(job)
            results.size == total
        }
        return results
    }

    override fun close() {
        instances.forEach { it.kill() }
        engines.forEach { it.stop() }
        plain.stop()
        store.stop()
    }
}

/** Waits until [holds], or fails; the longest wait is several times what the promises allow. */
internal fun await(
    what: String,
    milliseconds: Long = 20_000,
    holds: () -> Boolean,
) {
    val clock = systemClock()
    val deadline = clock.readMilliseconds() + milliseconds
    while (!holds()) {
        check(clock.readMilliseconds() < deadline) { "waited $milliseconds ms for: $what" }
        Thread.sleep(20)
    }
}
