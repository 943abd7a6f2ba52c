/**
 * Which group is started next. Starting the longest groups of a step first keeps the step from waiting for one long
 * group at its end; trainers share the engines by the samples each has under way.
 */
package org.mulberrypin.decisions.rollouts

/**
 * Chooses among candidates, of which there is at least one, and answers the position of the choice.
 *
 * The second argument holds the samples under way for each trainer.
 */
public typealias GroupOrder = (candidates: List<GroupCandidate>, underWay: Map<String, Int>) -> Int

/** Takes the trainer with the fewest samples under way, and of its groups the one expected to be longest. */
public val longestFirst: GroupOrder = { candidates, underWay ->
    candidates.indices.minWith(
        compareBy<Int> { underWay[candidates[it].owner] ?: 0 }
            .thenByDescending { candidates[it].expectedTokens }
            .thenBy { candidates[it].sequence },
    )
}

/** Takes the group that became known first; the baseline. */
public val firstComeFirstServed: GroupOrder = { candidates, _ ->
    candidates.indices.minBy { candidates[it].sequence }
}
