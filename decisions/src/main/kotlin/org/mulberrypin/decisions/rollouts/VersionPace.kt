package org.mulberrypin.decisions.rollouts

/**
 * The weight version of a trainer and how fast it grows.
 *
 * @property version newest version the trainer has named
 * @property sinceMilliseconds when it first named it, by the clock of this process
 * @property intervalMilliseconds time between its last two versions; 0 before the second
 */
public data class VersionPace(
    val version: Long,
    val sinceMilliseconds: Long,
    val intervalMilliseconds: Long = 0,
) {
    /** Takes in the version that the trainer names now; an older one changes nothing. */
    public fun advanceTo(
        newVersion: Long,
        nowMilliseconds: Long,
    ): VersionPace =
        if (newVersion <= version) {
            this
        } else {
            VersionPace(newVersion, nowMilliseconds, (nowMilliseconds - sinceMilliseconds) / (newVersion - version))
        }
}
