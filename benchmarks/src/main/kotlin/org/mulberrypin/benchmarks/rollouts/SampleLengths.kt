package org.mulberrypin.benchmarks.rollouts

import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** Draws heavy-tailed log-normal sample lengths in tokens: each prompt has a base length that its samples vary. */
internal class SampleLengths(
    private val seed: Long,
) {
    fun draw(
        prompt: String,
        sample: String,
    ): Long {
        val promptFactor = exp(gaussian(prompt) * PROMPT_DEVIATION)
        val sampleFactor = exp(gaussian(sample) * SAMPLE_DEVIATION)
        return (MEDIAN_TOKENS * promptFactor * sampleFactor).toLong().coerceIn(1, MAX_TOKENS)
    }

    private fun gaussian(name: String): Double = Random(seed * 31 + name.hashCode()).asJavaRandom().nextGaussian()

    private companion object {
        const val MEDIAN_TOKENS = 1200.0
        const val PROMPT_DEVIATION = 0.8
        const val SAMPLE_DEVIATION = 0.5
        const val MAX_TOKENS = 30_000L
    }
}
