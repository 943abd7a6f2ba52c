package org.mulberrypin.decisions.billing

/**
 * Identity and limits of the usage counter of one instance.
 *
 * @property windowMilliseconds length of a reported window
 * @property separateWindows number of newest windows that a checkpoint lists separately; older ones are added up, and a
 * report that is delayed further cannot separate them
 * @property sumLimit maximum number of pairs of team and route with separate sums; usage of further pairs is counted
 * for the team under [OTHER_ROUTES], so that none is lost
 * @property nameLimit minimum number of recent request names that are stored, so that no request is counted twice
 */
public data class UsageCounterLimits(
    val instance: String,
    val incarnation: Long,
    val windowMilliseconds: Long,
    val separateWindows: Int = 3,
    val sumLimit: Int = 4_096,
    val nameLimit: Int = 8_192,
)

/** Route under which usage is counted once [UsageCounterLimits.sumLimit] is reached. */
public const val OTHER_ROUTES: String = "(other)"
