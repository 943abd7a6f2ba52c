package org.mulberrypin.service.attempts

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.attempts.AttemptBegin
import org.mulberrypin.decisions.attempts.AttemptFinish
import org.mulberrypin.decisions.attempts.AttemptOutcome
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

@DisplayName("Two instances that keep records of attempts")
class AttemptPartTest {
    private val fake = FakePlatform()
    private val requests = AtomicLong()
    private val one = startAttemptPart(contextOf("one"))
    private val two = startAttemptPart(contextOf("two"))

    @AfterEach
    fun stop() {
        one.stop()
        two.stop()
    }

    @Test
    fun `let one request under a key run and give its answer to the others of the same team and content`() {
        expectThat(begin(one)).isEqualTo(AttemptOutcome.MayRun)
        val first = requests.get()
        expectThat(begin(two)).isEqualTo(AttemptOutcome.UnderWayOrUnknown)
        expectThat(begin(two, team = "kartenhaus")).isEqualTo(AttemptOutcome.MayRun)
        expectThat(begin(two, content = "another")).isEqualTo(AttemptOutcome.DifferentContent)
        one.finish(AttemptFinish(first, AttemptResult.Answered(201, "text/plain", "ordered")))
        val repeated = generateSequence { begin(two) }.first { it != AttemptOutcome.UnderWayOrUnknown }
        expectThat(repeated).isEqualTo(AttemptOutcome.AlreadyAnswered(201, "text/plain", "ordered"))
    }

    @Test
    fun `refuse as not run while the table service gives no answer`() {
        fake.isDown.set(true)
        expectThat(begin(one)).isEqualTo(AttemptOutcome.RecordUnavailable)
    }

    @Test
    fun `keep the names of records apart that would read the same`() {
        expectThat(attemptName("a", "b:c")).isNotEqualTo(attemptName("a:b", "c"))
        expectThat(attemptName("kerbrat", "order-1").contains("order")).isFalse()
    }

    private fun begin(
        part: AttemptPart,
        team: String = "kerbrat",
        content: String = "content",
    ): AttemptOutcome {
        val outcome = CompletableFuture<AttemptOutcome>()
        part.begin(AttemptBegin(requests.incrementAndGet(), team, "order-1", content)) { outcome.complete(it) }
        return outcome.join()
    }

    private fun contextOf(name: String) =
        EntryContext(
            settings = EntrySettings(instance = InstanceSettings(name = name)),
            incarnation = 1,
            clock = systemClock(),
            platform = fake.platform,
            peers = silentPeers(),
            metrics = SimpleMeterRegistry(),
            explain = {},
        )
}
