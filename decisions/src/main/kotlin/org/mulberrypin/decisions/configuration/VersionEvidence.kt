package org.mulberrypin.decisions.configuration

/**
 * Evidence that the configuration of an instance is the newest accepted one.
 *
 * At [freshAsOfMilliseconds] no version newer than the instance's own had been accepted. The evidence is a read of the
 * version row, a majority of the instances that had no newer version, or either of these forwarded by a peer. It is
 * dated to before the request was sent, so that a delayed message never makes it look more recent than it is.
 *
 * @property freshAsOfMilliseconds time of the most recent evidence, by the clock of this process, or null without any
 * @property storeReadMilliseconds time of the most recent read of the version row, by this instance or by a peer that
 * forwarded its evidence, by the clock of this process, or null without such a read
 */
public data class VersionEvidence(
    val freshAsOfMilliseconds: Long? = null,
    val storeReadMilliseconds: Long? = null,
) {
    /** Returns whether the evidence is recent enough to serve requests at [nowMilliseconds]. */
    public fun permitsServing(
        timeLimits: ConfigurationTimeLimits,
        nowMilliseconds: Long,
    ): Boolean {
        val freshAsOf = freshAsOfMilliseconds ?: return false
        val storeRead = storeReadMilliseconds ?: return false
        return nowMilliseconds - freshAsOf <= timeLimits.maximumEvidenceAgeMilliseconds &&
            nowMilliseconds - storeRead <= timeLimits.maximumEvidenceAgeMilliseconds + timeLimits.graceMilliseconds
    }

    /** Merges evidence from another source; the more recent time of each kind wins. */
    public fun mergedWith(other: VersionEvidence): VersionEvidence =
        VersionEvidence(
            freshAsOfMilliseconds = maxOfNullable(freshAsOfMilliseconds, other.freshAsOfMilliseconds),
            storeReadMilliseconds = maxOfNullable(storeReadMilliseconds, other.storeReadMilliseconds),
        )

    private fun maxOfNullable(
        first: Long?,
        second: Long?,
    ): Long? = listOfNotNull(first, second).maxOrNull()
}
