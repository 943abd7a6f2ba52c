/** Entry instances, a stand-in of the store and stand-ins of backend servers in one process, and calls as callers make them. */
package org.mulberrypin.command.deployment

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.mulberrypin.platform.deployment.DeploymentSettings
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.service.deployment.DeploymentInstance
import org.mulberrypin.service.deployment.startDeploymentInstance
import org.mulberrypin.standins.deployment.ServerStandIn
import org.mulberrypin.standins.deployment.StoreStandIn
import org.mulberrypin.standins.deployment.startServerStandIn
import org.mulberrypin.standins.deployment.startStoreStandIn

internal const val KEY = "key-1"
internal const val HOST = "shop.example"

internal class DeploymentWorld : AutoCloseable {
    val store: StoreStandIn = startStoreStandIn()
    val plain: ServerStandIn = startServerStandIn(store, "plain-1", "plain")
    val engines: List<ServerStandIn> = (1..2).map { startServerStandIn(store, "engine-$it", "engines", "sorter") }
    private val instances = ArrayList<DeploymentInstance>()

    init {
        configure(version = 1, routes = baseRoutes)
    }

    fun configure(
        version: Int,
        routes: String,
    ) = store.write("op", "config", configurationOf(version, routes))

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
            resultsKeptMilliseconds = 120_000,
        )
        val instance = startDeploymentInstance(settings, 0, systemClock())
        instances.add(instance)
        await("$name ready") { instance.isReady() }
        return instance
    }

    fun call(
        instance: DeploymentInstance,
        method: HttpMethod,
        path: String,
        id: String = "",
        body: String = "",
        key: String? = KEY,
    ): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(method, path).authority(HOST)
        if (id.isNotEmpty()) headers.set("mulberrypin-request-id", id)
        if (key != null) headers.set("authorization", "Bearer $key")
        val request = HttpRequest.of(headers.build(), HttpData.ofUtf8(body))
        return WebClient
            .of("h1c://127.0.0.1:${instance.callerPort}")
            .execute(request)
            .aggregate()
            .join()
    }

    fun submit(
        instance: DeploymentInstance,
        job: String,
        tasks: Int,
        minimumVersion: Int = 1,
    ): AggregatedHttpResponse = call(instance, HttpMethod.POST, "/sort/$job", job, submissionOf(tasks, minimumVersion))

    /** Reads the results of a job at [instance] until all are listed. */
    fun readAll(
        instance: DeploymentInstance,
        job: String,
        total: Int,
    ): List<JsonObject> {
        var results = emptyList<JsonObject>()
        await("results of $job") {
            val answer = call(instance, HttpMethod.GET, "/mulberrypin/lots/$job?after=0")
            if (answer.status().code() == 200) {
                val root = Json.parseToJsonElement(answer.contentUtf8()).jsonObject
                results = root.getValue("results").jsonArray.map { it.jsonObject }
            }
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
    val deadline = System.nanoTime() + milliseconds * 1_000_000
    while (!holds()) {
        check(System.nanoTime() < deadline) { "waited $milliseconds ms for: $what" }
        Thread.sleep(20)
    }
}

internal const val ordersRoute: String =
    """{"name":"orders","host":"shop.example","prefix":"/orders/","kind":"idempotent","timeoutMs":800,"goalMs":150,"service":"plain","maxAttempts":2,"public":false}"""

internal const val baseRoutes: String =
    ordersRoute +
        """,{"name":"scores","host":"shop.example","prefix":"/scores/","kind":"idempotent","timeoutMs":3000,"goalMs":800,"service":"plain","maxAttempts":2,"public":true},""" +
        """{"name":"sort","host":"shop.example","prefix":"/sort/","kind":"rollout","goalMs":500,"service":"engines","maxAttempts":3,"queueTtlS":40,"public":false}"""

private fun configurationOf(
    version: Int,
    routes: String,
): String =
    """{"version":$version,"routes":[$routes],"services":[{"name":"plain"},{"name":"engines",""" +
        """"engine":{"slots":8,"models":[{"name":"sorter"}]}}],"tenants":[{"name":"team-1","apiKeys":["$KEY"]}]}"""

private fun submissionOf(
    tasks: Int,
    minimumVersion: Int,
): String {
    val items = (1..tasks).joinToString(",") {
        """{"id":"task-$it","path":"/sort/$it","headers":{"Mulberrypin-Model":"sorter"},"body":"YQ==","tokens":10,""" +
            """"group":"g${it / 2}","scorerUrl":{"id":"score-$it","host":"$HOST","path":"/scores/$it","body":"YQ=="}}"""
    }
    return """{"step":1,"model":"sorter","minVersion":$minimumVersion,"targetCount":1,"items":[$items]}"""
}
