package org.mulberrypin.command.processes

import com.linecorp.armeria.client.WebClient
import org.mulberrypin.command.operatorClient
import org.mulberrypin.command.sha256
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.ChangeKind.PUT
import org.mulberrypin.schema.generated.ChangeSubject
import org.mulberrypin.schema.generated.ConfigurationChange
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.ExecutionCounts
import org.mulberrypin.schema.generated.Key
import org.mulberrypin.schema.generated.KeyRole
import org.mulberrypin.schema.generated.PatchAnswer
import org.mulberrypin.schema.generated.Pool
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RouteKind
import org.mulberrypin.schema.generated.Team
import java.nio.file.Files
import java.nio.file.Path

/** A platform, two engines, a plain service and three entry instances, each in a separate process. */
internal class ProcessNetwork(
    private val folder: Path,
) {
    val platform = ProgramProcess.start("stand-in", "platform")
    val engines = List(2) { ProgramProcess.start("stand-in", "engine", "--model", MODEL, "--token-milliseconds", "4") }
    val shop = ProgramProcess.start("stand-in", "service")
    val instances = listOf("a", "b", "c").map(::startInstance)

    /** Creates the configuration of the network through the first instance. */
    fun configure(): PatchAnswer {
        val operator = operatorClient(instances.first().address, OPERATOR_KEY)
        return when (val outcome = operator.patch(initialPatch())) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> error(outcome.fault)
        }
    }

    /** Number of executions by the plain service, by request identifier. */
    fun executions(): Map<String, Int> {
        val body = WebClient
            .of("http://${shop.address}")
            .blocking()
            .get("/executions")
            .contentUtf8()
        val counts = wireJson.decodeFromString(ExecutionCounts.serializer(), body)
        return counts.counts.associate { it.id to it.executions }
    }

    fun stop() = (instances + engines + shop + platform).forEach { it.kill() }

    private fun startInstance(name: String): ProgramProcess {
        val file = folder.resolve("$name.ini")
        Files.writeString(file, settingsText(name))
        return ProgramProcess.start("serve", "--settings", file.toString())
    }

    private fun settingsText(name: String): String =
        """
        [instance]
        name = instance-$name
        region = armor
        failure_domain = armor-$name
        operator_key_sha256 = ${sha256(OPERATOR_KEY)}
        [platform]
        table_address = ${platform.address}
        object_address = ${platform.address}
        orders_address = ${platform.address}
        usage_address = ${platform.address}
        instances_address = ${platform.address}
        timeout_milliseconds = 1000
        [requests]
        first_token_timeout_milliseconds = 5000
        idle_timeout_milliseconds = 5000
        """.trimIndent()

    private fun initialPatch(): ConfigurationPatch =
        ConfigurationPatch(
            expectedVersion = 0,
            author = "test",
            reason = "first configuration",
            changes =
                listOf(
                    ConfigurationChange(PUT, ChangeSubject.TEAM, "shop", team = Team("shop", 1.0)),
                    ConfigurationChange(PUT, ChangeSubject.TEAM, "sorters", team = Team("sorters", 1.0)),
                    key(Key("caller", "shop", sha256(CALLER_KEY))),
                    key(Key("trainer", "sorters", sha256(TRAINER_KEY), KeyRole.TRAINER)),
                    pool(Pool(MODEL, backendServers = engineServers(), slots = 8, reservedSlots = 2, model = MODEL)),
                    pool(Pool(SHOP, RouteKind.PLAIN_SERVICE, listOf(backendServer("shop", shop)), slots = 16)),
                    route(Route(MODEL, pool = MODEL)),
                    route(Route(SHOP, RouteKind.PLAIN_SERVICE, pool = SHOP)),
                ),
        )

    private fun engineServers(): List<BackendServer> =
        engines.mapIndexed { number, engine -> backendServer("engine-$number", engine) }

    private fun backendServer(
        name: String,
        process: ProgramProcess,
    ) = BackendServer(name, "armor-a", process.address)

    private fun key(key: Key) = ConfigurationChange(PUT, ChangeSubject.KEY, key.name, key = key)

    private fun pool(pool: Pool) = ConfigurationChange(PUT, ChangeSubject.POOL, pool.name, pool = pool)

    private fun route(route: Route) = ConfigurationChange(PUT, ChangeSubject.ROUTE, route.name, route = route)

    internal companion object {
        const val MODEL = "sorter-lm"
        const val SHOP = "shop"
        const val CALLER_KEY = "caller-key-of-the-test"
        const val TRAINER_KEY = "trainer-key-of-the-test"
        private const val OPERATOR_KEY = "operator-key-of-the-test"
    }
}
