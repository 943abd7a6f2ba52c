package org.mulberrypin.decisions.configuration

/**
 * What an instance knows about its configuration being the newest one.
 *
 * No version newer than the instance's own had been accepted at [freshMilliseconds]. The evidence is a read of the
 * version row, a majority of the instances that knew nothing newer, or either of these as told by a peer in answer to a
 * question. It always dates from before the question was sent, so that a delayed message never makes it look younger.
 *
 * @property freshMilliseconds time of the youngest evidence by the clock of this process, or null without any
 * @property storeMilliseconds time at which the table service last showed the version to this instance or to one that
 * told it, or null without any
 */
public data class Certainty(
    val freshMilliseconds: Long? = null,
    val storeMilliseconds: Long? = null,
) {
    /** True when requests may be served at [nowMilliseconds]. */
    public fun holds(
        bounds: ConfigurationBounds,
        nowMilliseconds: Long,
    ): Boolean {
        val fresh = freshMilliseconds ?: return false
        val store = storeMilliseconds ?: return false
        return nowMilliseconds - fresh <= bounds.certaintyMilliseconds &&
            nowMilliseconds - store <= bounds.certaintyMilliseconds + bounds.graceMilliseconds
    }

    /** Takes in evidence of another origin; the younger of both counts. */
    public fun renewed(other: Certainty): Certainty =
        Certainty(
            freshMilliseconds = maxOfNullable(freshMilliseconds, other.freshMilliseconds),
            storeMilliseconds = maxOfNullable(storeMilliseconds, other.storeMilliseconds),
        )

    private fun maxOfNullable(
        first: Long?,
        second: Long?,
    ): Long? = listOfNotNull(first, second).maxOrNull()
}
