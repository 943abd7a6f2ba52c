/**
 * Strategies that choose the instance for a group. A group that is predicted to be long goes to a fast instance even if
 * a slow one has less load.
 */
package org.mulberrypin.decisions.rollouts

/** Chooses from a non-empty list of candidates and returns the index of the best one, the first in case of a tie. */
public typealias InstanceSelector = (
    candidates: List<InstanceCandidate>,
    expectedTokens: Long,
    meanTokens: Long,
) -> Int

/**
 * Chooses the instance with the earliest predicted completion of the group. A load equal to the mean is taken to delay
 * the group by the time for one group of mean length.
 */
public val earliestCompletion: InstanceSelector = { candidates, expectedTokens, meanTokens ->
    val meanLoad = candidates.sumOf { it.samplesInFlight }.toDouble() / candidates.size + 1
    candidates.indices.minBy {
        val candidate = candidates[it]
        candidate.millisecondsPerToken * (expectedTokens + meanTokens * candidate.samplesInFlight / meanLoad)
    }
}

/** Chooses the instance with the fewest samples in flight; the baseline for comparisons. */
public val leastLoaded: InstanceSelector = { candidates, _, _ ->
    candidates.indices.minBy { candidates[it].samplesInFlight }
}
