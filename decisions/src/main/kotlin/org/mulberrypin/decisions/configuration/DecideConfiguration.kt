/**
 * Decides how an instance follows the numbered configuration.
 *
 * A patch becomes version n by one commit on the condition that the version row names n - 1. Instances learn of it by
 * announcements that travel along a tree and, failing that, by their next read of the version row. It is accepted, and
 * the operator is told so, once a majority of the instances has confirmed it. An instance serves only while it has
 * evidence, younger than the bound, that no version newer than its own had been accepted: a read of the version row, or
 * the answers of a majority that knew nothing newer. Two majorities share an instance, and versions never fall, so that
 * such a majority cannot exist after an acceptance; therefore no instance serves under an older version once the bound
 * has passed after the acceptance.
 */
package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.InstanceEntry

/** Decides [event] at [nowMilliseconds] of the clock of this process. */
public fun decideConfiguration(
    state: ConfigurationState,
    event: ConfigurationEvent,
    nowMilliseconds: Long,
): ConfigurationTransition =
    when (event) {
        is ConfigurationEvent.Tick -> handleTick(state, nowMilliseconds)
        is ConfigurationEvent.MembersChanged -> changeMembers(state, event.entries, nowMilliseconds)
        is ConfigurationEvent.StoreRead -> takeStoreRead(state, event, nowMilliseconds)
        is ConfigurationEvent.StoreUnreachable -> ConfigurationTransition(endRead(state, nowMilliseconds))
        is ConfigurationEvent.Announced -> takeAnnouncement(state, event, nowMilliseconds)
        is ConfigurationEvent.PeerConfirmed -> takeConfirmation(state, event, nowMilliseconds)
        is ConfigurationEvent.PeerFailed -> takePeerFailure(state, event, nowMilliseconds)
        is ConfigurationEvent.PatchSubmitted -> takeSubmission(state, event, nowMilliseconds)
        is ConfigurationEvent.CommitEnded -> takeCommitEnd(state, event, nowMilliseconds)
    }

/**
 * The quorum base does not shrink while the table service is out of reach: a part of the instances that is cut off must
 * not take itself for the whole because the rest has vanished from the list.
 */
private fun changeMembers(
    state: ConfigurationState,
    entries: List<InstanceEntry>,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val members = membersOf(entries, state.instance)
    val storeMilliseconds = state.certainty.storeMilliseconds
    val reached = storeMilliseconds != null &&
        nowMilliseconds - storeMilliseconds <= state.bounds.certaintyMilliseconds
    val base = if (reached) members.size + 1 else maxOf(state.quorumBase, members.size + 1)
    return ConfigurationTransition(state.copy(members = members, quorumBase = base))
}
