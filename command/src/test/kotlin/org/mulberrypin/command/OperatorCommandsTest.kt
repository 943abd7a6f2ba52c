package org.mulberrypin.command

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.ChangeKind
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.Key
import org.mulberrypin.schema.generated.PatchAnswer
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.none
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.writeText

@DisplayName("Operator commands")
class OperatorCommandsTest {
    @TempDir
    lateinit var folder: Path

    private val receivedPatches = CopyOnWriteArrayList<String>()
    private val queuedResponses = ArrayDeque<Pair<HttpStatus, PatchAnswer>>()
    private val server = Server
        .builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .service("/operator/configuration") { _, request -> HttpResponse.of(request.aggregate().thenApply(::respond)) }
        .build()
        .also { it.start().join() }

    @AfterEach
    fun stop() {
        server.stop().join()
    }

    @Test
    fun `key grant prints the key once and sends only its digest`() {
        queuedResponses += HttpStatus.OK to PatchAnswer(true, 7, 8, inForce = true)
        val run = runOperatorCommand("key", "grant", "carver", "--team", "shop")
        val secret = run.output.last().removePrefix("key: ")
        expectThat(run.exitCode).isEqualTo(ExitCode.SUCCESS)
        expectThat(receivedPatches).any { contains(sha256(secret)) }
        expectThat(receivedPatches).none { contains(secret) }
        expectThat(run.output.filter { secret in it }).hasSize(1)
    }

    @Test
    fun `key withdraw retries a stale version a limited number of times`() {
        repeat(3) { queuedResponses += HttpStatus.CONFLICT to PatchAnswer(false, 7, 8) }
        queuedResponses += HttpStatus.OK to PatchAnswer(true, 7, 8)
        expectThat(runOperatorCommand("key", "withdraw", "old").exitCode).isEqualTo(ExitCode.SUCCESS)
        repeat(9) { queuedResponses += HttpStatus.CONFLICT to PatchAnswer(false, 7, 8) }
        expectThat(runOperatorCommand("key", "withdraw", "old").exitCode).isEqualTo(ExitCode.FAILED)
        expectThat(patches().map { it.changes.single().kind }.toSet()).isEqualTo(setOf(ChangeKind.REMOVE))
    }

    @Test
    fun `key grant does not replace an existing key`() {
        val run = runOperatorCommand("key", "grant", "old", "--team", "shop")
        expectThat(run.exitCode).isEqualTo(ExitCode.FAILED)
        expectThat(patches()).hasSize(0)
    }

    @Test
    fun `configuration patch is sent once and reports both versions when it is stale`() {
        queuedResponses += HttpStatus.CONFLICT to PatchAnswer(false, 3, 7)
        val file = folder.resolve("patch.json").also { it.writeText("""{"expected_version": 3, "changes": []}""") }
        val run = runOperatorCommand("configuration", "patch", file.toString())
        expectThat(run.exitCode).isEqualTo(ExitCode.FAILED)
        expectThat(run.errors).contains("Refused: the patch expects version 3, the configuration has version 7.")
        expectThat(patches()).hasSize(1)
    }

    @Test
    fun `warns that a patch may have taken effect only when its outcome is unknown`() {
        queuedResponses += HttpStatus.GATEWAY_TIMEOUT to PatchAnswer(false, 7, 8)
        queuedResponses += HttpStatus.SERVICE_UNAVAILABLE to PatchAnswer(false, 7, 7)
        val warning = "The step may have taken effect."
        expectThat(runOperatorCommand("key", "withdraw", "old").errors).contains(warning)
        expectThat(
            runOperatorCommand("key", "withdraw", "old").errors,
        ).isNotEqualTo(listOf(warning)).none { contains(warning) }
    }

    @Test
    fun `rejects an invalid address before sending a request`() {
        val run = run(listOf("status", "--address", "nowhere", "--operator-key-file", keyFile()))
        expectThat(run.exitCode).isEqualTo(ExitCode.USAGE_ERROR)
    }

    private fun runOperatorCommand(vararg words: String): CommandRunRecord {
        val address = "127.0.0.1:${server.activeLocalPort()}"
        return run(words.toList() + listOf("--address", address, "--operator-key-file", keyFile()))
    }

    private fun keyFile(): String =
        folder
            .resolve("operator.txt")
            .also { it.writeText("operator\n") }
            .toString()

    private fun patches(): List<ConfigurationPatch> =
        receivedPatches.map { wireJson.decodeFromString(ConfigurationPatch.serializer(), it) }

    private fun respond(request: AggregatedHttpRequest): HttpResponse {
        if (request.headers().get("authorization") != "Bearer operator") return HttpResponse.of(HttpStatus.UNAUTHORIZED)
        if (request.method() == HttpMethod.GET) {
            val configuration = Configuration(version = 7, keys = listOf(Key("old", "shop")))
            return json(HttpStatus.OK, wireJson.encodeToString(Configuration.serializer(), configuration))
        }
        receivedPatches += request.contentUtf8()
        val (status, answer) = queuedResponses.removeFirst()
        return json(status, wireJson.encodeToString(PatchAnswer.serializer(), answer))
    }

    private fun json(
        status: HttpStatus,
        body: String,
    ): HttpResponse = HttpResponse.of(status, MediaType.JSON_UTF_8, body)
}
