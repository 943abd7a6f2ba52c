/** Runs entry instances, a stand-in of the store and stand-ins of backend servers in the test process. */
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

/** A store, a plain service, two engines and the entry instances that a test starts; closing it stops all of them. */
internal class DeploymentEnvironment : AutoCloseable {
    val store: StoreStandIn = startStoreStandIn()
    val plainService: ServerStandIn = startServerStandIn(store, "plain-1", "plain")
    val engines: List<ServerStandIn> = (1..2).map { startServerStandIn(store, "engine-$it", "engines", "sorter") }
    private val instances = ArrayList<DeploymentInstance>()

    init {
        store.write("op", "config", configurationText(version = 1))
    }

    /** Starts the entry instance [name] and waits until it is ready. */
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

    /** Polls [instance] for the results of [job] until all [total] are listed. */
    fun awaitResults(
        instance: DeploymentInstance,
        job: String,
        total: Int,
    ): List<JsonObject> {
        var results = emptyList<JsonObject>()
        await("results of $job") {
            results = caller(instance).readResults(job)
            results.size == total
        }
        return results
    }

    override fun close() {
        instances.forEach { it.stopImmediately() }
        engines.forEach { it.stop() }
        plainService.stop()
        store.stop()
    }
}

/**
 * Waits until [condition] holds and fails after [milliseconds]. The default is several times longer than any time limit
 * that the service guarantees.
 */
internal fun await(
    what: String,
    milliseconds: Long = 20_000,
    condition: () -> Boolean,
) {
    val clock = systemClock()
    val deadlineMilliseconds = clock.readMilliseconds() + milliseconds
    while (!condition()) {
        check(clock.readMilliseconds() < deadlineMilliseconds) { "condition not met within $milliseconds ms: $what" }
        Thread.sleep(20)
    }
}
