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
 * Selects, among the candidates whose expected completion is nearly the shortest, the one that is preferred most, then
 * the one with the lowest [tieBreak]; null if there are no candidates. One choice in some, by [seed], ignores the
 * preference: an instance that stays with one server could not tell whether the server or its requests are slow.
 */
public fun <Candidate> chooseNearlyBest(
    candidates: List<Choice<Candidate>>,
    seed: Long,
    tieBreak: (Candidate) -> Long,
): Choice<Candidate>? {
    val best = candidates.minOfOrNull { it.expected.total } ?: return null
    val limit = best + maxOf(best * NEARLY_EQUAL_SHARE, NEARLY_EQUAL_MILLISECONDS)
    val ignoresPreference = Math.floorMod(seed, CHOICES_PER_TRIAL) == 0L
    val order = compareBy<Choice<Candidate>> { if (ignoresPreference) 0.0 else it.expected.preference }
        .thenBy { tieBreak(it.candidate) }
    return candidates.filter { it.expected.total <= limit }.minWithOrNull(order)
}

/** Choices of which one ignores the preference. */
private const val CHOICES_PER_TRIAL = 8L

/** Share of the shortest time below which a difference is within what the estimates can tell. */
private const val NEARLY_EQUAL_SHARE = 0.08

/** Difference that is within the resolution of the clock, in milliseconds. */
private const val NEARLY_EQUAL_MILLISECONDS = 1.0
