package org.mulberrypin.decisions.rollouts

/**
 * The weight version of a trainer and the interval at which it increases.
 *
 * @property version newest version the trainer has named
 * @property sinceMilliseconds time at which that version first arrived, by the clock of this process
 * @property intervalMilliseconds mean time per version over its last increase; 0 before the second version
 */
public data class VersionProgress(
    val version: Long,
    val sinceMilliseconds: Long,
    val intervalMilliseconds: Long = 0,
) {
    /** Returns the progress after a call with [newVersion]; a version that is not newer changes nothing. */
    public fun advanceTo(
        newVersion: Long,
        nowMilliseconds: Long,
    ): VersionProgress =
        if (newVersion <= version) {
            this
        } else {
            VersionProgress(newVersion, nowMilliseconds, (nowMilliseconds - sinceMilliseconds) / (newVersion - version))
        }
}
