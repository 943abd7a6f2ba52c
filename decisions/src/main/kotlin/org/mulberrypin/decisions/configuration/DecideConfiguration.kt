/**
 * Distributes the versioned configuration to all instances and accepts patches to it.
 *
 * A patch becomes version n by one commit on condition that the version row holds n - 1. Instances receive it through
 * announcements, which are broadcast along a tree, or else with their next read of the version row. The patch is
 * accepted, and the operator notified, once a majority of the instances has confirmed it. An instance serves only while
 * it has sufficiently recent evidence that no version newer than its own had been accepted: a read of the version row,
 * or the answers of a majority without a newer version. Two majorities share an instance and versions never decrease,
 * so no majority without the new version exists after it was accepted. Therefore no instance serves under an older
 * version once the maximum age of evidence has passed since the acceptance.
 */
package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.InstanceEntry

/** Returns the next state and the effects of [event] at [nowMilliseconds] by the clock of this process. */
public fun decideConfiguration(
    state: ConfigurationState,
    event: ConfigurationEvent,
    nowMilliseconds: Long,
): ConfigurationTransition =
    when (event) {
        is ConfigurationEvent.Tick -> handleTick(state, nowMilliseconds)
        is ConfigurationEvent.MembersChanged -> updateMembers(state, event.entries, nowMilliseconds)
        is ConfigurationEvent.StoreRead -> handleStoreRead(state, event, nowMilliseconds)
        is ConfigurationEvent.StoreUnreachable -> ConfigurationTransition(endRead(state, nowMilliseconds))
        is ConfigurationEvent.AnnouncementReceived -> handleAnnouncement(state, event, nowMilliseconds)
        is ConfigurationEvent.PeerConfirmed -> handleConfirmation(state, event, nowMilliseconds)
        is ConfigurationEvent.PeerFailed -> handlePeerFailure(state, event, nowMilliseconds)
        is ConfigurationEvent.PatchSubmitted -> handleSubmission(state, event, nowMilliseconds)
        is ConfigurationEvent.CommitEnded -> handleCommitEnded(state, event, nowMilliseconds)
    }

/**
 * Replaces the list of members. While the table service is unreachable, the number of instances from which a majority
 * is computed does not decrease: instances in a network partition must not form a majority of their own because the
 * others have disappeared from the list.
 */
private fun updateMembers(
    state: ConfigurationState,
    entries: List<InstanceEntry>,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val members = membersOf(entries, state.instance)
    val storeReadMilliseconds = state.evidence.storeReadMilliseconds
    val storeReachable = storeReadMilliseconds != null &&
        nowMilliseconds - storeReadMilliseconds <= state.timeLimits.maximumEvidenceAgeMilliseconds
    val population = if (storeReachable) members.size + 1 else maxOf(state.quorumPopulation, members.size + 1)
    return ConfigurationTransition(state.copy(members = members, quorumPopulation = population))
}
