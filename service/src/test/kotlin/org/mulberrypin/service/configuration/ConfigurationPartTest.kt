package org.mulberrypin.service.configuration

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.Server
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.ChangeKind
import org.mulberrypin.schema.generated.ChangeSubject
import org.mulberrypin.schema.generated.ConfigurationChange
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.ConfigurationSettings
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.InstanceSettings
import org.mulberrypin.schema.generated.Key
import org.mulberrypin.schema.generated.KeyRole
import org.mulberrypin.schema.generated.PatchAnswer
import org.mulberrypin.schema.generated.Team
import org.mulberrypin.service.EntryContext
import org.mulberrypin.service.rollouts.FakePlatform
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList

@DisplayName("Configuration parts of three instances with a shared platform")
class ConfigurationPartTest {
    private val names = listOf("one", "two", "three")
    private val fakePlatform = FakePlatform()
    private val parts = HashMap<String, ConfigurationPart>()
    private val published = CopyOnWriteArrayList<Long>()
    private lateinit var server: Server
    private lateinit var client: WebClient

    @BeforeEach
    fun start() {
        names.forEach { name -> parts[name] = startConfigurationPart(newContext(name)) { published.add(it.version) } }
        parts.values.forEach { part -> part.peersChanged(names.map { InstanceEntry(name = it, peerAddress = it) }) }
        server = Server
            .builder()
            .http(0)
            .also(parts.getValue("one").routes)
            .build()
        server.start().join()
        client = WebClient.of("http://127.0.0.1:${server.activeLocalPort()}")
    }

    @AfterEach
    fun stop() {
        server.stop().join()
        parts.values.forEach { it.stop() }
    }

    @Test
    fun `apply an added and a removed key on every instance before the operator gets the response`() {
        expectThat(readAnswer(patchWithRetries(patch(0, put(team), put(key)))).inForce).isTrue()
        val caller = Caller("kerbrat", "till", KeyRole.CALLER)
        parts.values.forEach { expectThat(it.authenticate("Bearer secret")).isEqualTo(caller) }
        val removal = ConfigurationChange(ChangeKind.REMOVE, ChangeSubject.KEY, "till")
        expectThat(readAnswer(patchWithRetries(patch(1, removal))).inForce).isTrue()
        parts.values.forEach { expectThat(it.authenticate("Bearer secret")).isNull() }
        parts.values.forEach { expectThat(it.isConfigurationConfirmed()).isTrue() }
    }

    @Test
    fun `reject a stale patch with both versions and an invalid patch with all errors`() {
        patchWithRetries(patch(0, put(team)))
        val stale = send(patch(0, put(team)))
        expectThat(stale.status().code()).isEqualTo(409)
        expectThat(readAnswer(stale)).isEqualTo(
            PatchAnswer(false, 0, 1, listOf("expected_version: expected 1, found 0")),
        )
        val invalid = send(patch(1, put(key.copy(team = "nobody", sha256 = "short")), put(team.copy(weight = 0.0))))
        expectThat(invalid.status().code()).isEqualTo(422)
        expectThat(
            readAnswer(invalid).faults,
        ).hasSize(3).contains("key 'till'.team: expected the name of a team, found 'nobody'")
    }

    @Test
    fun `return the history to operators only`() {
        patchWithRetries(patch(0, put(team)))
        val history = client.execute(
            RequestHeaders.of(HttpMethod.GET, "$PATH/history?after=0", "authorization", OPERATOR),
        )
        expectThat(history.aggregate().join().contentUtf8()).contains("\"author\":\"operator\"")
        expectThat(
            client
                .get(PATH)
                .aggregate()
                .join()
                .status()
                .code(),
        ).isEqualTo(401)
        val caller = RequestHeaders.of(HttpMethod.GET, PATH, "authorization", "Bearer secret")
        expectThat(
            client
                .execute(caller)
                .aggregate()
                .join()
                .status()
                .code(),
        ).isEqualTo(401)
        expectThat(hasBearerDigest("Bearer ", "")).isFalse()
    }

    /** Retries while the instances refuse patches (status 503) because they have not yet read the table service. */
    private fun patchWithRetries(patch: ConfigurationPatch): AggregatedHttpResponse =
        generateSequence { send(patch) }.first { it.status().code() != 503 }

    private fun send(patch: ConfigurationPatch): AggregatedHttpResponse {
        val headers = RequestHeaders
            .builder(HttpMethod.PATCH, PATH)
            .contentType(MediaType.JSON_UTF_8)
            .add("authorization", OPERATOR)
            .build()
        val body = wireJson.encodeToString(ConfigurationPatch.serializer(), patch)
        return client.execute(headers, body).aggregate().join()
    }

    private fun readAnswer(response: AggregatedHttpResponse): PatchAnswer =
        wireJson.decodeFromString(PatchAnswer.serializer(), response.contentUtf8())

    private fun patch(
        expectedVersion: Long,
        vararg changes: ConfigurationChange,
    ) = ConfigurationPatch(expectedVersion, "operator", "test", changes.toList())

    private fun put(entry: Team) = ConfigurationChange(subject = ChangeSubject.TEAM, name = entry.name, team = entry)

    private fun put(entry: Key) = ConfigurationChange(subject = ChangeSubject.KEY, name = entry.name, key = entry)

    private fun newContext(name: String) =
        EntryContext(
            settings = EntrySettings(
                instance = InstanceSettings(name = name, operatorKeySha256 = sha256Hex("operators")),
                configuration = ConfigurationSettings(200, 10_000, 60_000),
            ),
            incarnation = 1,
            clock = systemClock(),
            platform = fakePlatform.platform,
            peers = silentPeers().copy(
                announce = { address, _, announcement, onOutcome ->
                    parts.getValue(address).handleAnnounce(announcement, onOutcome)
                },
            ),
            metrics = SimpleMeterRegistry(),
            explain = {},
        )

    private companion object {
        private const val PATH = "/operator/configuration"
        private const val OPERATOR = "Bearer operators"
        private val team = Team(name = "kerbrat", weight = 1.0)
        private val key = Key("till", "kerbrat", sha256Hex("secret"))
    }
}
