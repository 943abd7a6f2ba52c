package org.mulberrypin.decisions.configuration

/**
 * Time limits of configuration distribution.
 *
 * @property pollMilliseconds interval between two reads of the version row
 * @property forceMilliseconds time after acceptance within which every serving instance applies a version
 * @property graceMilliseconds time for which a majority of instances keeps serving without a read of the table service
 * @property clockRateBound largest relative difference between the rates of two clocks
 */
public data class ConfigurationTimeLimits(
    val pollMilliseconds: Long,
    val forceMilliseconds: Long,
    val graceMilliseconds: Long,
    val clockRateBound: Double,
) {
    /** Maximum age, by the local clock, of the evidence under which an instance serves requests. */
    val maximumEvidenceAgeMilliseconds: Long
        get() = (forceMilliseconds * (1 - clockRateBound)).toLong()
}
