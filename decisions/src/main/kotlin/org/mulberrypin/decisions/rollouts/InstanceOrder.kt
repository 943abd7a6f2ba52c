/**
 * Which instance generates a group. A group that is expected to be long goes to a fast instance even when a slow one
 * has less to do.
 */
package org.mulberrypin.decisions.rollouts

/** Chooses among candidates, of which there is at least one, and answers the position of the first of the best. */
public typealias InstanceOrder = (
    candidates: List<InstanceCandidate>,
    expectedTokens: Long,
    meanTokens: Long,
) -> Int

/** Takes the instance on which the group is expected to end first; a mean load counts as one group of mean length. */
public val earliestEnd: InstanceOrder = { candidates, expectedTokens, meanTokens ->
    val meanLoad = candidates.sumOf { it.samplesUnderWay }.toDouble() / candidates.size + 1
    candidates.indices.minBy {
        val candidate = candidates[it]
        candidate.millisecondsPerToken * (expectedTokens + meanTokens * candidate.samplesUnderWay / meanLoad)
    }
}

/** Takes the instance with the fewest samples under way; the baseline. */
public val fewestSamples: InstanceOrder = { candidates, _, _ ->
    candidates.indices.minBy { candidates[it].samplesUnderWay }
}
