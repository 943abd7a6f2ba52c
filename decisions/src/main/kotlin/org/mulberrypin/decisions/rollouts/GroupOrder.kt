/**
 * Strategies that choose the next group to start. Starting the longest groups of a step first prevents a long group
 * from delaying the end of the step; trainers share the engines by their numbers of samples in flight.
 */
package org.mulberrypin.decisions.rollouts

/**
 * Chooses from a non-empty list of candidates and returns the index of the chosen one.
 *
 * The second argument maps each trainer to its number of samples in flight.
 */
public typealias GroupSelector = (candidates: List<GroupCandidate>, inFlight: Map<String, Int>) -> Int

/** Chooses the trainer with the fewest samples in flight, and among its groups the one predicted to be longest. */
public val longestFirst: GroupSelector = { candidates, inFlight ->
    candidates.indices.minWith(
        compareBy<Int> { inFlight[candidates[it].owner] ?: 0 }
            .thenByDescending { candidates[it].expectedTokens }
            .thenBy { candidates[it].sequence },
    )
}

/** Chooses the group that arrived first; the baseline for comparisons. */
public val firstComeFirstServed: GroupSelector = { candidates, _ ->
    candidates.indices.minBy { candidates[it].sequence }
}
