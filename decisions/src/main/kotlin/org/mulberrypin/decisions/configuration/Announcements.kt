/** Sends, relays, answers and counts version announcements. */
package org.mulberrypin.decisions.configuration

import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation

/** Announces a version to the candidates of [delegations]; without delegations the fan-out completes immediately. */
internal fun startFanout(
    state: ConfigurationState,
    purpose: FanoutPurpose,
    announcement: AnnouncedVersion,
    delegations: List<Delegation>,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val number = state.nextFanoutNumber
    val fanout = Fanout(
        purpose = purpose,
        version = announcement.version,
        startMilliseconds = nowMilliseconds,
        endMilliseconds = nowMilliseconds + announcement.timeoutMilliseconds,
        patches = announcement.patches,
        pending = delegations.withIndex().associate { it.index to it.value }.toPersistentMap(),
    )
    val started = state.copy(nextFanoutNumber = number + 1, fanouts = state.fanouts.put(number, fanout))
    if (delegations.isEmpty()) return completeFanout(started, number, nowMilliseconds)
    val effects = delegations.indices.map { announcementEffect(started, number, it, nowMilliseconds) }
    return ConfigurationTransition(started, effects)
}

/**
 * Applies the announcement of a peer and relays it to the members of its range. It is answered immediately when the
 * range has no other members or [FANOUT_LIMIT] fan-outs are in progress.
 */
internal fun handleAnnouncement(
    state: ConfigurationState,
    event: ConfigurationEvent.AnnouncementReceived,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val announcement = event.announcement
    val range = HashRange(announcement.rangeFrom, announcement.rangeTo)
    val announced = AnnouncedVersion(announcement.version, announcement.patches, announcement.timeoutMilliseconds)
    return applyNewerVersions(state, null, announcement.patches)
        .then { readIfBehind(it, announcement.version, nowMilliseconds) }
        .then { caughtUp ->
            val delegations = delegateRange(caughtUp, range)
            val relayed = if (caughtUp.fanouts.size < FANOUT_LIMIT) delegations else emptyList()
            startFanout(caughtUp, FanoutPurpose.Relay(event.callNumber), announced, relayed, nowMilliseconds)
        }
}

/** Adds the answer of a member to its fan-out; a second answer for the same delegation is ignored. */
internal fun handleConfirmation(
    state: ConfigurationState,
    event: ConfigurationEvent.PeerConfirmed,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val fanout = state.fanouts[event.fanout] ?: return ConfigurationTransition(state)
    if (event.delegation !in fanout.pending) return ConfigurationTransition(state)
    val counted = fanout.copy(
        pending = fanout.pending.remove(event.delegation),
        confirmed = fanout.confirmed + event.confirmation.confirmed,
        highestVersion = maxOf(fanout.highestVersion, event.confirmation.version),
    )
    return applyNewerVersions(state, null, event.confirmation.patches)
        .then { readIfBehind(it, event.confirmation.version, nowMilliseconds) }
        .then { ConfigurationTransition(mergePeerEvidence(it, event.confirmation, fanout.startMilliseconds)) }
        .then { caughtUp ->
            val updated = caughtUp.copy(fanouts = caughtUp.fanouts.put(event.fanout, counted))
            completeIfAllAnswered(updated, event.fanout, nowMilliseconds)
        }
}

/** Announces to the next candidate of the delegation; drops it if none is left or the fan-out has expired. */
internal fun handlePeerFailure(
    state: ConfigurationState,
    event: ConfigurationEvent.PeerFailed,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val fanout = state.fanouts[event.fanout] ?: return ConfigurationTransition(state)
    val delegation = fanout.pending[event.delegation] ?: return ConfigurationTransition(state)
    val remaining = delegation.copy(candidates = delegation.candidates.drop(1))
    val abandoned = remaining.candidates.isEmpty() || nowMilliseconds >= fanout.endMilliseconds
    val pending = with(fanout.pending) {
        if (abandoned) remove(event.delegation) else put(event.delegation, remaining)
    }
    val next = state.copy(fanouts = state.fanouts.put(event.fanout, fanout.copy(pending = pending)))
    return if (abandoned) {
        completeIfAllAnswered(next, event.fanout, nowMilliseconds)
    } else {
        ConfigurationTransition(next, listOf(announcementEffect(next, event.fanout, event.delegation, nowMilliseconds)))
    }
}

/** Splits [range] among the members known to this instance. */
internal fun delegateRange(
    state: ConfigurationState,
    range: HashRange,
): List<Delegation> = delegate(state.members, range, positionOf(state.instance), seed = state.nextFanoutNumber)

/** Completes a fan-out with the answers received so far. */
internal fun completeFanout(
    state: ConfigurationState,
    number: Long,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val fanout = state.fanouts.getValue(number)
    val ended = state.copy(fanouts = state.fanouts.remove(number))
    return when (val purpose = fanout.purpose) {
        is FanoutPurpose.Relay -> ConfigurationTransition(
            ended,
            listOf(
                ConfigurationEffect.AnswerAnnouncement(
                    purpose.callNumber,
                    buildConfirmation(ended, fanout, nowMilliseconds),
                ),
            ),
        )

        is FanoutPurpose.PeerQuery -> ConfigurationTransition(ended)

        is FanoutPurpose.QuorumCheck -> ConfigurationTransition(applyQuorumCheck(ended, fanout))

        is FanoutPurpose.Preparation -> completePreparation(ended, fanout, purpose.operatorRequest, nowMilliseconds)

        is FanoutPurpose.Confirmation -> completeConfirmation(ended, fanout, purpose.operatorRequest, nowMilliseconds)
    }
}

/** Number of instances reached by [fanout], this one included, that serve under its version or a newer one. */
internal fun countConfirmed(
    state: ConfigurationState,
    fanout: Fanout,
): Int = fanout.confirmed + if (state.hasReadStore && state.version >= fanout.version) 1 else 0

/** Renews the evidence as of the start of [fanout], if a majority answered and no answer had a newer version. */
internal fun applyQuorumCheck(
    state: ConfigurationState,
    fanout: Fanout,
): ConfigurationState {
    val noNewerVersion = fanout.highestVersion <= fanout.version
    if (!noNewerVersion || !state.isMajority(countConfirmed(state, fanout))) return state
    return state.copy(evidence = state.evidence.mergedWith(VersionEvidence(fanout.startMilliseconds)))
}

private fun completeIfAllAnswered(
    state: ConfigurationState,
    number: Long,
    nowMilliseconds: Long,
): ConfigurationTransition =
    if (state.fanouts
            .getValue(number)
            .pending
            .isEmpty()
    ) {
        completeFanout(state, number, nowMilliseconds)
    } else {
        ConfigurationTransition(state)
    }

private fun readIfBehind(
    state: ConfigurationState,
    version: Long,
    nowMilliseconds: Long,
): ConfigurationTransition =
    if (version > state.version) startRead(state, nowMilliseconds) else ConfigurationTransition(state)

/** Merges the evidence of the sender of [confirmation], dated back to the time at which it was requested. */
private fun mergePeerEvidence(
    state: ConfigurationState,
    confirmation: VersionConfirmation,
    requestMilliseconds: Long,
): ConfigurationState {
    val freshAgeMilliseconds = confirmation.freshAgeMilliseconds
    if (freshAgeMilliseconds == null || confirmation.version > state.version) return state
    val peerEvidence = VersionEvidence(
        freshAsOfMilliseconds = requestMilliseconds - freshAgeMilliseconds,
        storeReadMilliseconds = confirmation.storeAgeMilliseconds?.let { requestMilliseconds - it },
    )
    return state.copy(evidence = state.evidence.mergedWith(peerEvidence))
}

private fun buildConfirmation(
    state: ConfigurationState,
    fanout: Fanout,
    nowMilliseconds: Long,
): VersionConfirmation {
    val evidence = state.evidence
    return VersionConfirmation(
        instance = state.instance,
        incarnation = state.incarnation,
        version = maxOf(fanout.highestVersion, state.version),
        confirmed = countConfirmed(state, fanout),
        patches = state.recentPatches.filter { it.version > fanout.version }.take(CONFIRMATION_PATCH_LIMIT),
        freshAgeMilliseconds = evidence.freshAsOfMilliseconds?.let { nowMilliseconds - it },
        storeAgeMilliseconds = evidence.storeReadMilliseconds?.let { nowMilliseconds - it },
    )
}

private fun announcementEffect(
    state: ConfigurationState,
    number: Long,
    index: Int,
    nowMilliseconds: Long,
): ConfigurationEffect.Announce {
    val fanout = state.fanouts.getValue(number)
    val delegation = fanout.pending.getValue(index)
    val remainingMilliseconds = fanout.endMilliseconds - nowMilliseconds
    val callTimeoutMilliseconds = (remainingMilliseconds * CALL_TIMEOUT_PERCENT / PERCENT).coerceAtLeast(1)
    return ConfigurationEffect.Announce(
        fanout = number,
        delegation = index,
        address = delegation.candidates.first().address,
        timeoutMilliseconds = callTimeoutMilliseconds,
        announcement = VersionAnnouncement(
            instance = state.instance,
            incarnation = state.incarnation,
            version = fanout.version,
            patches = fanout.patches,
            rangeFrom = delegation.range.from,
            rangeTo = delegation.range.to,
            timeoutMilliseconds = callTimeoutMilliseconds * RELAY_TIMEOUT_PERCENT / PERCENT,
        ),
    )
}

private const val CONFIRMATION_PATCH_LIMIT = 4
private const val PERCENT = 100

/** Share of the remaining time that one candidate gets, so that time is left to try another one. */
private const val CALL_TIMEOUT_PERCENT = 75

/** Share of that time that the candidate gets for its own fan-out. */
private const val RELAY_TIMEOUT_PERCENT = 85
