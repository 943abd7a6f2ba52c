package org.mulberrypin.service.attempts

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.attempts.AttemptCompletion
import org.mulberrypin.decisions.attempts.AttemptOutcome
import org.mulberrypin.decisions.attempts.AttemptRequest
import org.mulberrypin.decisions.attempts.AttemptResult
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.InstanceSettings
import org.mulberrypin.service.EntryContext
import org.mulberrypin.service.configuration.silentPeers
import org.mulberrypin.service.rollouts.FakePlatform
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicLong

@DisplayName("Attempt records shared by two instances")
class AttemptPartTest {
    private val fakePlatform = FakePlatform()
    private val requests = AtomicLong()
    private val firstInstance = startAttemptPart(contextOf("one"))
    private val secondInstance = startAttemptPart(contextOf("two"))

    @AfterEach
    fun stop() {
        firstInstance.stop()
        secondInstance.stop()
    }

    @Test
    fun `run one request per key and return its response to repeats with the same team and content`() {
        expectThat(begin(firstInstance)).isEqualTo(AttemptOutcome.MayRun)
        val first = requests.get()
        expectThat(begin(secondInstance)).isEqualTo(AttemptOutcome.InProgressOrUnknown)
        expectThat(begin(secondInstance, team = "kartenhaus")).isEqualTo(AttemptOutcome.MayRun)
        expectThat(begin(secondInstance, content = "another")).isEqualTo(AttemptOutcome.DifferentContent)
        firstInstance.finish(AttemptCompletion(first, AttemptResult.Answered(201, "text/plain", "ordered")))
        val repeated = generateSequence { begin(secondInstance) }.first { it != AttemptOutcome.InProgressOrUnknown }
        expectThat(repeated).isEqualTo(AttemptOutcome.AlreadyCompleted(201, "text/plain", "ordered"))
    }

    @Test
    fun `refuse requests as not run while the table service is down`() {
        fakePlatform.isDown.set(true)
        expectThat(begin(firstInstance)).isEqualTo(AttemptOutcome.RecordUnavailable)
    }

    @Test
    fun `use different names for pairs of team and key that concatenate to the same text`() {
        expectThat(attemptRecordName("a", "b:c")).isNotEqualTo(attemptRecordName("a:b", "c"))
        expectThat(attemptRecordName("kerbrat", "order-1").contains("order")).isFalse()
    }

    private fun begin(
        part: AttemptPart,
        team: String = "kerbrat",
        content: String = "content",
    ): AttemptOutcome {
        val outcome = CompletableFuture<AttemptOutcome>()
        part.begin(AttemptRequest(requests.incrementAndGet(), team, "order-1", content)) { outcome.complete(it) }
        return outcome.join()
    }

    private fun contextOf(name: String) =
        EntryContext(
            settings = EntrySettings(instance = InstanceSettings(name = name)),
            incarnation = 1,
            clock = systemClock(),
            platform = fakePlatform.platform,
            peers = silentPeers(),
            metrics = SimpleMeterRegistry(),
            explain = {},
        )
}
