package org.mulberrypin.command.deployment

import com.linecorp.armeria.common.HttpMethod
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import org.mulberrypin.standins.deployment.StoreFault
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull

/** The whole path of an entry instance on stand-ins of the users' platform. */
class EntryPathTest {
    @Test
    fun `forwards a request for its team and keeps its key from the backend server`() {
        DeploymentWorld().use { world ->
            val answer = world.call(world.start("entry-1"), HttpMethod.POST, "/orders/1", "id-1", "body")
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
            val request = "GET $path HTTP/1.1\r\nHost: $HOST\r\nAuthorization: Bearer $KEY\r\n" +
                "Mulberrypin-Request-Id: id-1\r\n\r\n"
            java.net.Socket("127.0.0.1", instance.callerPort).use { socket ->
                socket.soTimeout = 5_000
                socket.getOutputStream().write(request.toByteArray())
                expectThat(socket.getInputStream().bufferedReader().readLine()).isEqualTo("HTTP/1.1 200 OK")
            }
            expectThat(world.plain.ran.single().path).isEqualTo(path)
        }
    }

    @Test
    fun `refuses a missing key and a missing route`() {
        DeploymentWorld().use { world ->
            val instance = world.start("entry-1")
            val keyless = world.call(instance, HttpMethod.POST, "/orders/1", "id-1", key = null)
            val lost = world.call(instance, HttpMethod.POST, "/none/1", "id-2")
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
            expectThat(world.submit(first, "job-1", 6).status().code()).isEqualTo(202)
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
            world.submit(first, "job-1", 2)
            world.readAll(first, "job-1", 2)
            expectThat(world.call(first, HttpMethod.DELETE, "/mulberrypin/lots/job-1").status().code()).isEqualTo(200)
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
            instances.forEachIndexed { index, instance -> world.submit(instance, "job-$index", 2) }
            repeat(4) { world.readAll(instances[0], "job-$it", 2) }
        }
    }

    @Test
    fun `takes over the jobs of an instance that died`() {
        DeploymentWorld().use { world ->
            val first = world.start("entry-1")
            expectThat(world.submit(first, "job-1", 3, minimumVersion = 2).status().code()).isEqualTo(202)
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
            world.submit(instance, "job-1", 6)
            val results = world.readAll(instance, "job-1", 6)
            expectThat(results.map { it.text("id") }.toSet()).hasSize(6)
        }
    }

    @Test
    fun `follows the configuration after the store has dropped its history`() {
        DeploymentWorld().use { world ->
            val instance = world.start("entry-1")
            world.store.forgetHistory()
            world.configure(2, ordersRoute.replace("/orders/", "/other/"))
            await("version 2") { world.call(instance, HttpMethod.POST, "/other/1", "id-1").status().code() == 200 }
            expectThat(world.call(instance, HttpMethod.POST, "/orders/1", "id-2").status().code()).isEqualTo(404)
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
