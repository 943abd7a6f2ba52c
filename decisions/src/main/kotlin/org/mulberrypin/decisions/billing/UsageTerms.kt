package org.mulberrypin.decisions.billing

/**
 * How one instance counts usage.
 *
 * @property windowMilliseconds length of a reported window
 * @property listedWindows newest windows that a checkpoint lists apart; older ones are summed up, and a report that is
 * later than this cannot tell them apart
 * @property sumLimit pairs of team and route that are counted apart; usage of further pairs is counted for the team
 * under [OTHER_ROUTES], so that none is lost
 * @property nameLimit names of requests that are remembered at least, so that none is counted twice
 */
public data class UsageTerms(
    val instance: String,
    val incarnation: Long,
    val windowMilliseconds: Long,
    val listedWindows: Int = 3,
    val sumLimit: Int = 4_096,
    val nameLimit: Int = 8_192,
)

/** Route under which usage is counted when the table of sums is full. */
public const val OTHER_ROUTES: String = "(other)"
