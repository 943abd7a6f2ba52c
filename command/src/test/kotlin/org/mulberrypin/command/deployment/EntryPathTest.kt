package org.mulberrypin.command.deployment

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import org.mulberrypin.standins.deployment.CALLER_KEY
import org.mulberrypin.standins.deployment.StoreFault
import org.mulberrypin.standins.deployment.configurationText
import org.mulberrypin.standins.deployment.rawRequest
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import java.net.Socket

/** Tests entry instances end to end against stand-ins of the store and the backend servers. */
class EntryPathTest {
    @Test
    fun `forwards a request with the caller's team but without the key`() {
        DeploymentEnvironment().use { environment ->
            val response = environment.caller(environment.start("entry-1")).request("/orders/1", "id-1", CALLER_KEY)
            expectThat(response.status().code()).isEqualTo(200)
            expectThat(response.contentUtf8()).isEqualTo("answer to id-1")
            expectThat(response.headers().get("mulberrypin-response-seal")).isEqualTo("signature-id-1")
            val executedRequest = environment.plainService.executedRequests.single()
            expectThat(executedRequest.team).isEqualTo("team-1")
            expectThat(executedRequest.hasKey).isFalse()
            expectThat(executedRequest.path).isEqualTo("/orders/1")
        }
    }

    @Test
    fun `forwards the request path byte for byte`() {
        DeploymentEnvironment().use { environment ->
            val instance = environment.start("entry-1")
            val path = "/orders/%7E1//x%2Fy?q=%7E+a%20b&&"
            val request = rawRequest(path, "id-1")
            Socket("127.0.0.1", instance.callerPort).use { socket ->
                socket.soTimeout = 5_000
                socket.getOutputStream().write(request.toByteArray())
                expectThat(socket.getInputStream().bufferedReader().readLine()).isEqualTo("HTTP/1.1 200 OK")
            }
            expectThat(
                environment.plainService.executedRequests
                    .single()
                    .path,
            ).isEqualTo(path)
        }
    }

    @Test
    fun `rejects a request without a key and one without a route`() {
        DeploymentEnvironment().use { environment ->
            val instance = environment.start("entry-1")
            val withoutKey = environment.caller(instance).request("/orders/1", "id-1", null)
            val withoutRoute = environment.caller(instance).request("/none/1", "id-2", CALLER_KEY)
            expectThat(withoutKey.status().code()).isEqualTo(401)
            expectThat(withoutRoute.status().code()).isEqualTo(404)
        }
    }

    @Test
    fun `lists every task of a job exactly once on any instance, even after a broken stream`() {
        DeploymentEnvironment().use { environment ->
            val first = environment.start("entry-1")
            val second = environment.start("entry-2")
            environment.engines.forEach { it.breakNext.set(2) }
            expectThat(environment.caller(first).submitJob("job-1", 6, 1)).isEqualTo(202)
            val results = environment.awaitResults(second, "job-1", 6)
            expectThat(results.map { it.text("id") }.toSet()).hasSize(6)
            expectThat(results).all { get { text("text") }.isEqualTo("part 1\npart 2\npart 3\npart 4") }
            expectThat(results).all { get { text("state") }.isEqualTo("completed") }
            expectThat(results).all { get { get("score") }.isNotNull() }
        }
    }

    @Test
    fun `refuses as not run while the operator evacuates all servers, and serves again once that is taken back`() {
        DeploymentEnvironment().use { environment ->
            val instance = environment.start("entry-1")
            environment.store.write("op", "evacuate/zone-a", "{}")
            await("refusal", EVACUATION_MILLISECONDS) {
                val response = environment.caller(instance).request("/orders/1", "id-1", CALLER_KEY)
                response.status().code() == 503 && response.headers().get("retry-after") != null
            }
            environment.store.write("op", "version/sorter", """{"model":"sorter","version":2}""")
            val executed = environment.plainService.executedRequests.size
            environment.caller(instance).request("/orders/1", "id-2", CALLER_KEY)
            expectThat(environment.plainService.executedRequests).hasSize(executed)
            Thread.sleep(ORDER_MILLISECONDS)
            expectThat(environment.engines.map { it.version.get() }).all { isEqualTo(1L) }
            environment.store.remove("op", "evacuate/zone-a")
            await("an answer", EVACUATION_MILLISECONDS) {
                environment
                    .caller(instance)
                    .request("/orders/1", "id-3", CALLER_KEY)
                    .status()
                    .code() == 200
            }
            await("version 2 at both engines") { environment.engines.all { it.version.get() == 2L } }
        }
    }

    @Test
    fun `serves the results of an ended job from an instance started later`() {
        DeploymentEnvironment().use { environment ->
            val first = environment.start("entry-1")
            environment.caller(first).submitJob("job-1", 2, 1)
            environment.awaitResults(first, "job-1", 2)
            expectThat(environment.caller(first).endJob("job-1")).isEqualTo(200)
            first.stopImmediately()
            environment.awaitResults(environment.start("entry-2"), "job-1", 2)
        }
    }

    @Test
    fun `runs jobs that other instances accepted`() {
        DeploymentEnvironment().use { environment ->
            val instances = (1..4).map { environment.start("entry-$it") }
            // Once the instances have read each other's heartbeats, one of them owns all jobs of the model,
            // regardless of which instance accepts a job.
            Thread.sleep(2_500)
            instances.forEachIndexed { index, instance -> environment.caller(instance).submitJob("job-$index", 2, 1) }
            repeat(4) { environment.awaitResults(instances[0], "job-$it", 2) }
        }
    }

    @Test
    fun `takes over the jobs of a killed instance`() {
        DeploymentEnvironment().use { environment ->
            val first = environment.start("entry-1")
            expectThat(environment.caller(first).submitJob("job-1", 3, 2)).isEqualTo(202)
            val second = environment.start("entry-2")
            first.stopImmediately()
            environment.store.write("op", "version/sorter", """{"model":"sorter","version":2}""")
            expectThat(environment.awaitResults(second, "job-1", 3)).hasSize(3)
        }
    }

    @Test
    fun `lists no result twice when responses of the store are lost`() {
        DeploymentEnvironment().use { environment ->
            val instance = environment.start("entry-1")
            var losses = 3
            environment.store.setFaults { path ->
                val isLost = path.endsWith("rows-tx") &&
                    environment.engines.any { it.executedRequests.isNotEmpty() } &&
                    losses-- > 0
                if (isLost) StoreFault.ANSWER_LOST else StoreFault.NONE
            }
            environment.caller(instance).submitJob("job-1", 6, 1)
            val results = environment.awaitResults(instance, "job-1", 6)
            expectThat(results.map { it.text("id") }.toSet()).hasSize(6)
        }
    }

    @Test
    fun `rejects every submission with status 503 while the store rejects writes`() {
        DeploymentEnvironment().use { environment ->
            val instance = environment.start("entry-1")
            environment.store.setFaults { path ->
                if (path.endsWith("rows-tx")) StoreFault.REFUSED else StoreFault.NONE
            }
            val caller = environment.caller(instance)
            val codes = (1..40).map { caller.submitJob("job-$it", 2, 1) }
            expectThat(codes.toSet()).isEqualTo(setOf(503))
            environment.store.setFaults { StoreFault.NONE }
            expectThat(environment.engines.sumOf { it.executedRequests.size }).isEqualTo(0)
        }
    }

    @Test
    fun `applies configuration changes after the store has dropped its change history`() {
        DeploymentEnvironment().use { environment ->
            val instance = environment.start("entry-1")
            environment.store.clearHistory()
            environment.store.write("op", "config", configurationText(version = 2, ordersPrefix = "/other/"))
            await("version 2") {
                environment
                    .caller(instance)
                    .request("/other/1", "id-1", CALLER_KEY)
                    .status()
                    .code() == 200
            }
            expectThat(
                environment
                    .caller(instance)
                    .request("/orders/1", "id-2", CALLER_KEY)
                    .status()
                    .code(),
            ).isEqualTo(404)
        }
    }

    @Test
    fun `orders every engine to load the named weight version`() {
        DeploymentEnvironment().use { environment ->
            environment.start("entry-1")
            environment.store.write("op", "version/sorter", """{"model":"sorter","version":2}""")
            await("version 2 at both engines") { environment.engines.all { it.version.get() == 2L } }
        }
    }
}

/** Time within which an evacuation is in force on every instance, in milliseconds, as the deployments state it. */
private const val EVACUATION_MILLISECONDS = 5_000L

/** Time within which the holder of the lease orders engines to load a version that is named, in milliseconds. */
private const val ORDER_MILLISECONDS = 2_000L

private fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content
