/**
 * Chooses one of the servers that are expected to be about equally fast. Several instances with the same outdated
 * reports would all choose the single best one.
 */
package org.mulberrypin.decisions.work

/** A choice and what it is expected to take. */
public data class Choice<out Candidate>(
    val candidate: Candidate,
    val expected: ExpectedCompletion,
)

/**
 * Selects the candidate with the lowest [tieBreak] among those whose expected completion is nearly the shortest; null
 * if there are no candidates.
 */
public fun <Candidate> chooseNearlyBest(
    candidates: List<Choice<Candidate>>,
    tieBreak: (Candidate) -> Long,
): Choice<Candidate>? {
    val best = candidates.minOfOrNull { it.expected.total } ?: return null
    val limit = best + maxOf(best * NEARLY_EQUAL_SHARE, NEARLY_EQUAL_MILLISECONDS)
    return candidates.filter { it.expected.total <= limit }.minByOrNull { tieBreak(it.candidate) }
}

/** Share of the shortest time below which a difference is within what the estimates can tell. */
private const val NEARLY_EQUAL_SHARE = 0.05

/** Difference that is within the resolution of the clock, in milliseconds. */
private const val NEARLY_EQUAL_MILLISECONDS = 1.0
