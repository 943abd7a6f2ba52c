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

/** The whole path of an entry instance on stand-ins of the users' platform. */
class EntryPathTest {
    @Test
    fun `forwards a request for its team and keeps its key from the backend server`() {
        DeploymentWorld().use { world ->
            val answer = world.caller(world.start("entry-1")).request("/orders/1", "id-1", CALLER_KEY)
            expectThat(answer.status().code()).isEqualTo(200)
            expectThat(answer.contentUtf8()).isEqualTo("answer to id-1")
            expectThat(answer.headers().get("mulberrypin-response-seal")).isEqualTo("signature-id-1")
            val ran = world.plain.ran.single()
            expectThat(ran.team).isEqualTo("team-1")
            expectThat(ran.hasKey).isFalse()
            expectThat(ran.path).isEqualTo("/orders/1")
        }
    }

    @Test
    fun `hands the path on as the caller wrote it`() {
        DeploymentWorld().use { world ->
            val instance = world.start("entry-1")
            val path = "/orders/%7E1//x%2Fy?q=%7E+a%20b&&"
            val request = rawRequest(path, "id-1")
            Socket("127.0.0.1", instance.callerPort).use { socket ->
                socket.soTimeout = 5_000
                socket.getOutputStream().write(request.toByteArray())
                expectThat(socket.getInputStream().bufferedReader().readLine()).isEqualTo("HTTP/1.1 200 OK")
            }
            expectThat(
                world.plain.ran
                    .single()
                    .path,
            ).isEqualTo(path)
        }
    }

    @Test
    fun `refuses a missing key and a missing route`() {
        DeploymentWorld().use { world ->
            val instance = world.start("entry-1")
            val keyless = world.caller(instance).request("/orders/1", "id-1", null)
            val lost = world.caller(instance).request("/none/1", "id-2", CALLER_KEY)
            expectThat(keyless.status().code()).isEqualTo(401)
            expectThat(lost.status().code()).isEqualTo(404)
        }
    }

    @Test
    fun `lists every task of a job once, at any instance, also after a broken stream`() {
        DeploymentWorld().use { world ->
            val first = world.start("entry-1")
            val second = world.start("entry-2")
            world.engines.forEach { it.breakNext.set(2) }
            expectThat(world.caller(first).submit("job-1", 6, 1)).isEqualTo(202)
            val results = world.readAll(second, "job-1", 6)
            expectThat(results.map { it.text("id") }.toSet()).hasSize(6)
            expectThat(results).all { get { text("text") }.isEqualTo("part 1\npart 2\npart 3\npart 4") }
            expectThat(results).all { get { text("state") }.isEqualTo("completed") }
            expectThat(results).all { get { get("score") }.isNotNull() }
        }
    }

    @Test
    fun `reads a job at an instance that started after its end`() {
        DeploymentWorld().use { world ->
            val first = world.start("entry-1")
            world.caller(first).submit("job-1", 2, 1)
            world.readAll(first, "job-1", 2)
            expectThat(world.caller(first).end("job-1")).isEqualTo(200)
            first.kill()
            world.readAll(world.start("entry-2"), "job-1", 2)
        }
    }

    @Test
    fun `runs a job that another instance accepted for it`() {
        DeploymentWorld().use { world ->
            val instances = (1..4).map { world.start("entry-$it") }
            // Once all heartbeats are seen, one of the four owns all jobs of the model, whoever accepts them.
            Thread.sleep(2_500)
            instances.forEachIndexed { index, instance -> world.caller(instance).submit("job-$index", 2, 1) }
            repeat(4) { world.readAll(instances[0], "job-$it", 2) }
        }
    }

    @Test
    fun `takes over the jobs of an instance that died`() {
        DeploymentWorld().use { world ->
            val first = world.start("entry-1")
            expectThat(world.caller(first).submit("job-1", 3, 2)).isEqualTo(202)
            val second = world.start("entry-2")
            first.kill()
            world.store.write("op", "version/sorter", """{"model":"sorter","version":2}""")
            expectThat(world.readAll(second, "job-1", 3)).hasSize(3)
        }
    }

    @Test
    fun `lists nothing twice when answers of the store are lost`() {
        DeploymentWorld().use { world ->
            val instance = world.start("entry-1")
            var lost = 3
            world.store.failWith { path ->
                val isLost = path.endsWith("rows-tx") && world.engines.any { it.ran.isNotEmpty() } && lost-- > 0
                if (isLost) StoreFault.ANSWER_LOST else StoreFault.NONE
            }
            world.caller(instance).submit("job-1", 6, 1)
            val results = world.readAll(instance, "job-1", 6)
            expectThat(results.map { it.text("id") }.toSet()).hasSize(6)
        }
    }

    @Test
    fun `answers every submission at once while the store refuses writes`() {
        DeploymentWorld().use { world ->
            val instance = world.start("entry-1")
            world.store.failWith { path -> if (path.endsWith("rows-tx")) StoreFault.REFUSED else StoreFault.NONE }
            val caller = world.caller(instance)
            val codes = (1..40).map { caller.submit("job-$it", 2, 1) }
            expectThat(codes.toSet()).isEqualTo(setOf(503))
            world.store.failWith { StoreFault.NONE }
            expectThat(world.engines.sumOf { it.ran.size }).isEqualTo(0)
        }
    }

    @Test
    fun `follows the configuration after the store has dropped its history`() {
        DeploymentWorld().use { world ->
            val instance = world.start("entry-1")
            world.store.forgetHistory()
            world.store.write("op", "config", configurationText(version = 2, ordersPrefix = "/other/"))
            await("version 2") {
                world
                    .caller(instance)
                    .request("/other/1", "id-1", CALLER_KEY)
                    .status()
                    .code() == 200
            }
            expectThat(
                world
                    .caller(instance)
                    .request("/orders/1", "id-2", CALLER_KEY)
                    .status()
                    .code(),
            ).isEqualTo(404)
        }
    }

    @Test
    fun `orders each engine the version that was named`() {
        DeploymentWorld().use { world ->
            world.start("entry-1")
            world.store.write("op", "version/sorter", """{"model":"sorter","version":2}""")
            await("version 2 at both engines") { world.engines.all { it.version.get() == 2L } }
        }
    }
}

private fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content
