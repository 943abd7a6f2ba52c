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

@DisplayName("The commands for operators")
class OperatorCommandsTest {
    @TempDir
    lateinit var folder: Path

    private val received = CopyOnWriteArrayList<String>()
    private val answers = ArrayDeque<Pair<HttpStatus, PatchAnswer>>()
    private val server = Server
        .builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .service("/operator/configuration") { _, request -> HttpResponse.of(request.aggregate().thenApply(::answer)) }
        .build()
        .also { it.start().join() }

    @AfterEach
    fun stop() {
        server.stop().join()
    }

    @Test
    fun `show a granted key once and send its digest only`() {
        answers += HttpStatus.OK to PatchAnswer(true, 7, 8, inForce = true)
        val run = operate("key", "grant", "carver", "--team", "shop")
        val secret = run.answers.last().removePrefix("key: ")
        expectThat(run.exitCode).isEqualTo(ExitCode.GOOD)
        expectThat(received).any { contains(sha256(secret)) }
        expectThat(received).none { contains(secret) }
        expectThat(run.answers.filter { secret in it }).hasSize(1)
    }

    @Test
    fun `read again when another operator was faster, and give up while the version keeps changing`() {
        repeat(3) { answers += HttpStatus.CONFLICT to PatchAnswer(false, 7, 8) }
        answers += HttpStatus.OK to PatchAnswer(true, 7, 8)
        expectThat(operate("key", "withdraw", "old").exitCode).isEqualTo(ExitCode.GOOD)
        repeat(9) { answers += HttpStatus.CONFLICT to PatchAnswer(false, 7, 8) }
        expectThat(operate("key", "withdraw", "old").exitCode).isEqualTo(ExitCode.FAILED)
        expectThat(patches().map { it.changes.single().kind }.toSet()).isEqualTo(setOf(ChangeKind.REMOVE))
    }

    @Test
    fun `replace no key that exists`() {
        val run = operate("key", "grant", "old", "--team", "shop")
        expectThat(run.exitCode).isEqualTo(ExitCode.FAILED)
        expectThat(patches()).hasSize(0)
    }

    @Test
    fun `send a patch once and name both versions when it is stale`() {
        answers += HttpStatus.CONFLICT to PatchAnswer(false, 3, 7)
        val file = folder.resolve("patch.json").also { it.writeText("""{"expected_version": 3, "changes": []}""") }
        val run = operate("configuration", "patch", file.toString())
        expectThat(run.exitCode).isEqualTo(ExitCode.FAILED)
        expectThat(run.complaints).contains("Refused: the patch expects version 3, the configuration has version 7.")
        expectThat(patches()).hasSize(1)
    }

    @Test
    fun `tell a patch that may have been accepted from one that was not run`() {
        answers += HttpStatus.GATEWAY_TIMEOUT to PatchAnswer(false, 7, 8)
        answers += HttpStatus.SERVICE_UNAVAILABLE to PatchAnswer(false, 7, 7)
        val warning = "The step may have taken effect."
        expectThat(operate("key", "withdraw", "old").complaints).contains(warning)
        expectThat(
            operate("key", "withdraw", "old").complaints,
        ).isNotEqualTo(listOf(warning)).none { contains(warning) }
    }

    @Test
    fun `refuse a wrong address before anything is sent`() {
        val run = run(listOf("status", "--address", "nowhere", "--operator-key-file", keyFile()))
        expectThat(run.exitCode).isEqualTo(ExitCode.WRONG_USAGE)
    }

    private fun operate(vararg words: String): CommandRunRecord {
        val address = "127.0.0.1:${server.activeLocalPort()}"
        return run(words.toList() + listOf("--address", address, "--operator-key-file", keyFile()))
    }

    private fun keyFile(): String =
        folder
            .resolve("operator.txt")
            .also { it.writeText("operator\n") }
            .toString()

    private fun patches(): List<ConfigurationPatch> =
        received.map { wireJson.decodeFromString(ConfigurationPatch.serializer(), it) }

    private fun answer(request: AggregatedHttpRequest): HttpResponse {
        if (request.headers().get("authorization") != "Bearer operator") return HttpResponse.of(HttpStatus.UNAUTHORIZED)
        if (request.method() == HttpMethod.GET) {
            val configuration = Configuration(version = 7, keys = listOf(Key("old", "shop")))
            return json(HttpStatus.OK, wireJson.encodeToString(Configuration.serializer(), configuration))
        }
        received += request.contentUtf8()
        val (status, answer) = answers.removeFirst()
        return json(status, wireJson.encodeToString(PatchAnswer.serializer(), answer))
    }

    private fun json(
        status: HttpStatus,
        body: String,
    ): HttpResponse = HttpResponse.of(status, MediaType.JSON_UTF_8, body)
}
