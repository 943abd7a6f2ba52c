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
        SampleTally().addBatch(step, batch(1, *samples))

    private fun batch(
        number: Long,
        vararg samples: Sample,
    ) = Batch(step = "s", number = number, groups = listOf(SampleGroup("g", samples.toList())), trainerVersion = 5)

    @Test
    fun `finds no fault in complete samples`() {
        val tally = tallyOf(sample("a"), sample("b"))
        expectThat(tally.missingSamples(step)).isEqualTo(0)
        expectThat(tally.copy(sampleNames = SampleTally().sampleNames, groupSamples = SampleTally().groupSamples))
            .isEqualTo(SampleTally(acknowledgedBatches = tally.acknowledgedBatches, largestStaleness = 1))
    }

    @Test
    fun `counts missing, duplicated, mismatched, corrupted and stale samples and those without a version`() {
        expectThat(tallyOf(sample("a")).missingSamples(step)).isEqualTo(1)
        expectThat(tallyOf(sample("a"), sample("a")).duplicated).isEqualTo(1)
        expectThat(tallyOf(sample("a", prompt = "other")).mismatched).isEqualTo(1)
        expectThat(tallyOf(sample("a").let { it.copy(text = it.text.dropLast(1)) }).corrupted).isEqualTo(1)
        expectThat(tallyOf(sample("a", version = 3)).stale).isEqualTo(1)
        expectThat(tallyOf(sample("a").copy(spans = emptyList())).missingVersions).isEqualTo(1)
    }

    @Test
    fun `ignores a redelivered batch, but counts its samples in another batch as duplicates`() {
        val first = tallyOf(sample("a"))
        expectThat(first.addBatch(step, batch(1, sample("a")))).isEqualTo(first)
        expectThat(first.addBatch(step, batch(2, sample("a"))).duplicated).isEqualTo(1)
    }
}
