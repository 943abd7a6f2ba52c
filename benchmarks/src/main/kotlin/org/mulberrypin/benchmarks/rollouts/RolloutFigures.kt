package org.mulberrypin.benchmarks.rollouts

/**
 * Results of one run.
 *
 * @property firstStepSeconds mean time until a trainer received its whole first step, before any sample length is known
 * @property laterStepSeconds mean time until a trainer received a whole later step, over the same prompts
 * @property idleSeconds mean time per step during which a trainer had no samples to train on
 * @property stalenessMedian versions between the trainer and the oldest token of a sample, at delivery
 * @property meanTokens mean length of the delivered samples; it reveals a bias of the policy towards short samples
 * @property wastedPercent percentage of the generated tokens that were not delivered
 * @property commits mean number of commits to the table service per step
 */
internal data class RolloutFigures(
    val policy: String,
    val firstStepSeconds: Double,
    val laterStepSeconds: Double,
    val worstStepSeconds: Double,
    val idleSeconds: Double,
    val worstIdleSeconds: Double,
    val stalenessMedian: Long,
    val stalenessTail: Long,
    val stalenessLargest: Long,
    val meanTokens: Double,
    val wastedPercent: Double,
    val commits: Double,
)
