package org.mulberrypin.decisions.configuration

import kotlinx.collections.immutable.PersistentMap
import org.mulberrypin.schema.generated.AcceptedPatch

/** Why an announcement is made. */
public sealed interface FanoutPurpose {
    /** To pass on the announcement of a peer that waits for the answer under [call]. */
    public data class Relay(
        val call: Long,
    ) : FanoutPurpose

    /** To ask single members what they know. */
    public data object Question : FanoutPurpose

    /** To learn whether a majority knows nothing newer. */
    public data object Survey : FanoutPurpose

    /** To learn whether a majority can be reached before the patch of [operator] is committed. */
    public data class Preparation(
        val operator: Long,
    ) : FanoutPurpose

    /** To have the committed patch of [operator] confirmed. */
    public data class Confirmation(
        val operator: Long,
    ) : FanoutPurpose
}

/**
 * An announcement under way to several members.
 *
 * @property version the announced version
 * @property startMilliseconds when it was started, by the clock of this process
 * @property endMilliseconds when the answers that are still missing are given up
 * @property patches patches that travel with the announcement
 * @property pending members that were asked and have not answered, by the index of their delegation
 * @property confirmed instances, without this one, that serve under the version or a newer one
 * @property highestVersion highest version that any answer named
 */
public data class Fanout(
    val purpose: FanoutPurpose,
    val version: Long,
    val startMilliseconds: Long,
    val endMilliseconds: Long,
    val patches: List<AcceptedPatch>,
    val pending: PersistentMap<Int, Delegation>,
    val confirmed: Int = 0,
    val highestVersion: Long = version,
)
