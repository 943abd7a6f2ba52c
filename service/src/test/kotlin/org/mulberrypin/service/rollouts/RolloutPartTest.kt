package org.mulberrypin.service.rollouts

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.Server
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.serialization.KSerializer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.InstanceSettings
import org.mulberrypin.schema.generated.KeyRole
import org.mulberrypin.schema.generated.LeaseSettings
import org.mulberrypin.schema.generated.PromptGroup
import org.mulberrypin.schema.generated.RolloutSettings
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.WeightSpan
import org.mulberrypin.service.EntryContext
import org.mulberrypin.service.peers.PeerCall
import org.mulberrypin.service.peers.PeerClient
import org.mulberrypin.service.peers.PeerHandler
import org.mulberrypin.service.requests.RequestPart
import org.mulberrypin.service.requests.RequestSubmission
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

@DisplayName("Rollout parts of two instances")
class RolloutPartTest {
    private val fakePlatform = FakePlatform()
    private val parts = ConcurrentHashMap<String, RolloutPart>()
    private val servers = mutableListOf<Server>()
    private val executingInstances = ConcurrentHashMap.newKeySet<String>()
    private val entries = listOf("a", "b").map { InstanceEntry(name = it, peerAddress = it, incarnation = 1) }
    private val request = StepRequest(
        trainer = "sorter",
        step = "1",
        model = "sorter-lm",
        groups = (1..6).map { PromptGroup("group-$it", "prompt $it", samples = 2) },
        stalenessBound = 1,
        trainerVersion = 5,
        team = "team from the request, to be replaced by that of the key",
    )
    private val ports = entries.associate { it.name to start(it.name) }

    init {
        parts.values.forEach { it.peersChanged(entries) }
    }

    @AfterEach
    fun stop() {
        servers.forEach { it.stop().join() }
        parts.values.forEach { it.stop() }
    }

    @Test
    fun `deliver all groups of a step to a trainer that alternates between the instances`() {
        val delivered = collectStep { call -> if (call % 2 == 0) "a" else "b" }
        val groups = delivered.flatMap { it.groups }
        expectThat(groups.map { it.group }).containsExactlyInAnyOrder(request.groups.map { it.group })
        expectThat(groups.all { it.samples.size == 2 }).isTrue()
        expectThat(groups.flatMap { it.samples }.all { it.spans == SPANS && it.text == "two words" }).isTrue()
        expectThat(executingInstances).containsExactlyInAnyOrder("a", "b")
    }

    @Test
    fun `continue a step on the other instance after its holder is drained`() {
        val delivered = collectStep(afterBatch = { parts.getValue("a").drain() }) { call -> if (call < 1) "a" else "b" }
        expectThat(delivered.flatMap { it.groups }.map { it.group })
            .containsExactlyInAnyOrder(request.groups.map { it.group })
    }

    @Test
    fun `deliver the same frozen batch again after a store outage`() {
        val first = firstBatch()
        fakePlatform.isDown.set(true)
        expectThat(requestBatch("b", acknowledged = 0).batch).isEqualTo(null)
        fakePlatform.isDown.set(false)
        val again = generateSequence { requestBatch("b", acknowledged = 0) }.firstNotNullOf { it.batch }
        expectThat(again).isEqualTo(first)
    }

    @Test
    fun `reject invalid requests and callers without the trainer role`() {
        expectThat(post("a", "/v1/rollouts/steps", "caller", StepRequest.serializer(), request).first).isEqualTo(403)
        expectThat(post("a", "/v1/rollouts/steps", "", StepRequest.serializer(), request).first).isEqualTo(401)
        val invalid = request.copy(trainer = "no/slash")
        expectThat(post("a", "/v1/rollouts/steps", "trainer", StepRequest.serializer(), invalid).first).isEqualTo(400)
    }

    private fun firstBatch(): Batch {
        post("a", "/v1/rollouts/steps", "trainer", StepRequest.serializer(), request)
        return generateSequence { requestBatch("a", acknowledged = 0) }.firstNotNullOf { it.batch }
    }

    private fun collectStep(
        afterBatch: () -> Unit = {},
        instanceOf: (Int) -> String,
    ): List<Batch> {
        post("a", "/v1/rollouts/steps", "trainer", StepRequest.serializer(), request)
        val delivered = mutableListOf<Batch>()
        var calls = 0
        while (true) {
            val reply = requestBatch(instanceOf(calls++), delivered.lastOrNull()?.number ?: 0)
            reply.batch?.let {
                delivered += it
                afterBatch()
            }
            if (reply.complete) {
                return delivered
            }
        }
    }

    private fun requestBatch(
        instance: String,
        acknowledged: Long,
    ): BatchAnswer {
        val call = BatchRequest("sorter", "1", acknowledged, trainerVersion = 5)
        val (status, content) = post(instance, "/v1/rollouts/batches", "trainer", BatchRequest.serializer(), call)
        expectThat(status).isEqualTo(200)
        return wireJson.decodeFromString(BatchAnswer.serializer(), content)
    }

    private fun <Message> post(
        instance: String,
        path: String,
        key: String,
        serializer: KSerializer<Message>,
        message: Message,
    ): Pair<Int, String> {
        val headers = RequestHeaders
            .builder(HttpMethod.POST, path)
            .contentType(MediaType.JSON)
            .add(HttpHeaderNames.AUTHORIZATION, key)
            .build()
        val client = WebClient.of("http://127.0.0.1:${ports.getValue(instance)}").blocking()
        val response = client.execute(headers, wireJson.encodeToString(serializer, message))
        return response.status().code() to response.contentUtf8()
    }

    private fun start(instance: String): Int {
        val part = startRolloutPart(newContext(instance), newRequestPart(instance), ::authenticate)
        parts[instance] = part
        val builder = Server.builder().http(InetSocketAddress("127.0.0.1", 0))
        part.routes(builder)
        val server = builder.build()
        server.start().join()
        servers += server
        return server.activeLocalPort()
    }

    private fun authenticate(header: String?): Caller? =
        when (header) {
            "trainer" -> Caller("kerbrat", "trainer-key", KeyRole.TRAINER)
            "caller" -> Caller("kerbrat", "caller-key", KeyRole.CALLER)
            else -> null
        }

    private fun newContext(instance: String) =
        EntryContext(
            settings = EntrySettings(
                instance = InstanceSettings(name = instance),
                leases = LeaseSettings(durationMilliseconds = 9_000, renewalMilliseconds = 3_000),
                rollouts = RolloutSettings(batchGroups = 2, groupAttemptLimit = 8, inFlightSamples = 8),
            ),
            incarnation = 1,
            clock = systemClock(),
            platform = fakePlatform.platform,
            peers = PeerClient(
                announce = { _, _, _, _ -> },
                runGroup = peerCallTo { it.handleRunGroup },
                nextBatch = peerCallTo { it.handleNextBatch },
                explain = { _, _, _, _ -> },
                reportCrash = { _, _, _, _ -> },
                copyUsage = { _, _, _, _ -> },
                countEvents = { _, _, _, _ -> },
            ),
            metrics = SimpleMeterRegistry(),
            explain = {},
        )

    private fun <Request, Answer> peerCallTo(
        handler: (RolloutPart) -> PeerHandler<Request, Answer>,
    ): PeerCall<Request, Answer> =
        { address, _, message, onOutcome ->
            val part = parts[address]
            if (part == null) {
                onOutcome(Outcome.Failure(Fault("call", address, FaultKind.NOT_RUN, "There is no such peer.")))
            } else {
                handler(part)(message, onOutcome)
            }
        }

    private fun newRequestPart(instance: String) =
        RequestPart(
            nextRequestNumber = AtomicLong()::incrementAndGet,
            submit = { submission ->
                executingInstances += instance
                reply(submission)
                true
            },
            submitServiceCall = { false },
            cancel = {},
            configurationChanged = {},
            instancesChanged = {},
            configurationConfirmedChanged = {},
            crashReported = { _, _ -> },
            drain = {},
            inFlight = { 0 },
            stop = {},
        )

    private fun reply(submission: RequestSubmission) {
        expectThat(submission.arrival.team).isEqualTo("kerbrat")
        submission.onReply(RequestReply.Chunk("two ", tokens = 1, weightVersion = 4))
        submission.onReply(RequestReply.Chunk("words", tokens = 1, weightVersion = 5))
        submission.onReply(RequestReply.Finished("stop", 2, SPANS, "engine-1"))
    }

    private companion object {
        val SPANS = listOf(WeightSpan(4, 1), WeightSpan(5, 1))
    }
}
