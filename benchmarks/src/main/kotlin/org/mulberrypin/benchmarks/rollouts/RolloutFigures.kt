package org.mulberrypin.benchmarks.rollouts

/**
 * What one run measured.
 *
 * @property firstStepSeconds mean time until a trainer had its first step whole, before any length is known
 * @property laterStepSeconds the same for later steps over the same prompts
 * @property idleSeconds time in each step that a trainer had nothing to train on, mean over all
 * @property stalenessMedian versions between the trainer and the oldest token of a sample, at delivery
 * @property meanTokens mean length of the delivered samples, by which a preference for short ones would show
 * @property wastedPercent part of the generated tokens that was not delivered
 * @property commits commits to the table service for each step
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
