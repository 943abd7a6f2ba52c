package org.mulberrypin.decisions.configuration

/**
 * The times that bound how configurations spread, in milliseconds.
 *
 * @property pollMilliseconds time between two reads of the version row
 * @property forceMilliseconds time within which an accepted version is in force on every instance that serves
 * @property graceMilliseconds time for which a majority of instances serves on while nobody reaches the table service
 * @property clockRateBound largest relative difference between the rates of two clocks
 */
public data class ConfigurationBounds(
    val pollMilliseconds: Long,
    val forceMilliseconds: Long,
    val graceMilliseconds: Long,
    val clockRateBound: Double,
) {
    /** How long evidence that a version is the newest lets an instance serve, by its own clock. */
    val certaintyMilliseconds: Long
        get() = (forceMilliseconds * (1 - clockRateBound)).toLong()
}
