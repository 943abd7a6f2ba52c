package org.mulberrypin.standins.load

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.Batch
import org.mulberrypin.schema.generated.PromptGroup
import org.mulberrypin.schema.generated.Sample
import org.mulberrypin.schema.generated.SampleGroup
import org.mulberrypin.schema.generated.StepRequest
import org.mulberrypin.schema.generated.WeightSpan
import org.mulberrypin.standins.text.generatedAnswer
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@DisplayName("The tally of a trainer's samples")
class SampleTallyTest {
    private val step = StepRequest(
        step = "s",
        groups = listOf(PromptGroup("g", "prompt", 2)),
        stalenessBound = 1,
        maxTokens = 30,
    )

    private fun sample(
        name: String,
        prompt: String = "prompt",
        version: Long = 4,
    ): Sample {
        val answer = generatedAnswer(prompt, seed = name.hashCode().toLong(), maxTokens = 30)
        val tokens = answer.tokens.toLong()
        return Sample(name, "g", answer.text, listOf(WeightSpan(version, tokens)), tokens = tokens)
    }

    private fun tallyOf(vararg samples: Sample): SampleTally =
        SampleTally().take(step, batch(1, *samples))

    private fun batch(
        number: Long,
        vararg samples: Sample,
    ) = Batch(step = "s", number = number, groups = listOf(SampleGroup("g", samples.toList())), trainerVersion = 5)

    @Test
    fun `finds nothing wrong with whole samples`() {
        val tally = tallyOf(sample("a"), sample("b"))
        expectThat(tally.missing(step)).isEqualTo(0)
        expectThat(tally.copy(names = SampleTally().names, groupSamples = SampleTally().groupSamples))
            .isEqualTo(SampleTally(acknowledged = tally.acknowledged, largestStaleness = 1))
    }

    @Test
    fun `finds missing, doubled, crossed, damaged, stale and unnamed samples`() {
        expectThat(tallyOf(sample("a")).missing(step)).isEqualTo(1)
        expectThat(tallyOf(sample("a"), sample("a")).doubled).isEqualTo(1)
        expectThat(tallyOf(sample("a", prompt = "other")).crossed).isEqualTo(1)
        expectThat(tallyOf(sample("a").let { it.copy(text = it.text.dropLast(1)) }).damaged).isEqualTo(1)
        expectThat(tallyOf(sample("a", version = 3)).stale).isEqualTo(1)
        expectThat(tallyOf(sample("a").copy(spans = emptyList())).unnamed).isEqualTo(1)
    }

    @Test
    fun `passes over a batch that was sent again, but not over its samples in another one`() {
        val first = tallyOf(sample("a"))
        expectThat(first.take(step, batch(1, sample("a")))).isEqualTo(first)
        expectThat(first.take(step, batch(2, sample("a"))).doubled).isEqualTo(1)
    }
}
