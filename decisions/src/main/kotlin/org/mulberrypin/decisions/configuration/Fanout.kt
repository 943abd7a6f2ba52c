package org.mulberrypin.decisions.configuration

import kotlinx.collections.immutable.PersistentMap
import org.mulberrypin.schema.generated.AcceptedPatch

/** Purpose of a fan-out, which determines what happens when it completes. */
public sealed interface FanoutPurpose {
    /** Relay the announcement of a peer; the result is the response to [callNumber]. */
    public data class Relay(
        val callNumber: Long,
    ) : FanoutPurpose

    /** Query individual members for their evidence. */
    public data object PeerQuery : FanoutPurpose

    /** Check whether a majority has no newer version. */
    public data object QuorumCheck : FanoutPurpose

    /** Check that a majority is reachable before the patch of request [operatorRequest] is committed. */
    public data class Preparation(
        val operatorRequest: Long,
    ) : FanoutPurpose

    /** Collect confirmations of the committed patch of request [operatorRequest]. */
    public data class Confirmation(
        val operatorRequest: Long,
    ) : FanoutPurpose
}

/**
 * An announcement in progress to several members.
 *
 * @property version the announced version
 * @property startMilliseconds start time, by the clock of this process
 * @property endMilliseconds time at which the fan-out completes without missing answers, by the clock of this process
 * @property patches patches sent with the announcement
 * @property pending delegations without an answer, by their index
 * @property confirmed number of instances, without this one, that serve under the version or a newer one
 * @property highestVersion highest version in any answer
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
