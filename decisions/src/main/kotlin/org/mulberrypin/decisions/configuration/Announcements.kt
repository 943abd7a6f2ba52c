/** How announcements are sent, passed on, answered and counted. */
package org.mulberrypin.decisions.configuration

import kotlinx.collections.immutable.toPersistentMap
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation

/** Announces a version to the members that [delegations] name; without any, ends at once. */
internal fun startFanout(
    state: ConfigurationState,
    purpose: FanoutPurpose,
    announcement: AnnouncedVersion,
    delegations: List<Delegation>,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val number = state.nextNumber
    val fanout = Fanout(
        purpose = purpose,
        version = announcement.version,
        startMilliseconds = nowMilliseconds,
        endMilliseconds = nowMilliseconds + announcement.timeoutMilliseconds,
        patches = announcement.patches,
        pending = delegations.withIndex().associate { it.index to it.value }.toPersistentMap(),
    )
    val started = state.copy(nextNumber = number + 1, fanouts = state.fanouts.put(number, fanout))
    if (delegations.isEmpty()) return endFanout(started, number, nowMilliseconds)
    val effects = delegations.indices.map { announceTo(started, number, it, nowMilliseconds) }
    return ConfigurationTransition(started, effects)
}

/** Passes on the announcement of a peer, or answers it when there is nobody to pass it to. */
internal fun takeAnnouncement(
    state: ConfigurationState,
    event: ConfigurationEvent.Announced,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val announcement = event.announcement
    val range = HashRange(announcement.rangeFrom, announcement.rangeTo)
    val announced = AnnouncedVersion(announcement.version, announcement.patches, announcement.timeoutMilliseconds)
    return adopt(state, null, announcement.patches)
        .then { catchUp(it, announcement.version, nowMilliseconds) }
        .then { reached ->
            val delegations = delegateFrom(reached, range)
            val passedOn = if (reached.fanouts.size < FANOUT_LIMIT) delegations else emptyList()
            startFanout(reached, FanoutPurpose.Relay(event.call), announced, passedOn, nowMilliseconds)
        }
}

/** Counts the answer of a member, once for each delegation. */
internal fun takeConfirmation(
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
    return adopt(state, null, event.confirmation.patches)
        .then { catchUp(it, event.confirmation.version, nowMilliseconds) }
        .then { ConfigurationTransition(believe(it, event.confirmation, fanout.startMilliseconds)) }
        .then { reached ->
            val noted = reached.copy(fanouts = reached.fanouts.put(event.fanout, counted))
            endIfDone(noted, event.fanout, nowMilliseconds)
        }
}

/** Asks the next candidate of the delegation, or gives the delegation up. */
internal fun takePeerFailure(
    state: ConfigurationState,
    event: ConfigurationEvent.PeerFailed,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val fanout = state.fanouts[event.fanout] ?: return ConfigurationTransition(state)
    val delegation = fanout.pending[event.delegation] ?: return ConfigurationTransition(state)
    val others = delegation.copy(candidates = delegation.candidates.drop(1))
    val abandoned = others.candidates.isEmpty() || nowMilliseconds >= fanout.endMilliseconds
    val pending = with(fanout.pending) {
        if (abandoned) remove(event.delegation) else put(event.delegation, others)
    }
    val next = state.copy(fanouts = state.fanouts.put(event.fanout, fanout.copy(pending = pending)))
    return if (abandoned) {
        endIfDone(next, event.fanout, nowMilliseconds)
    } else {
        ConfigurationTransition(next, listOf(announceTo(next, event.fanout, event.delegation, nowMilliseconds)))
    }
}

/** Splits [range] among the members that this instance knows. */
internal fun delegateFrom(
    state: ConfigurationState,
    range: HashRange,
): List<Delegation> = delegate(state.members, range, positionOf(state.instance), seed = state.nextNumber)

/** Ends an announcement with the answers that have come. */
internal fun endFanout(
    state: ConfigurationState,
    number: Long,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val fanout = state.fanouts.getValue(number)
    val ended = state.copy(fanouts = state.fanouts.remove(number))
    return when (val purpose = fanout.purpose) {
        is FanoutPurpose.Relay -> ConfigurationTransition(
            ended,
            listOf(ConfigurationEffect.Confirm(purpose.call, confirm(ended, fanout, nowMilliseconds))),
        )

        is FanoutPurpose.Question -> ConfigurationTransition(ended)

        is FanoutPurpose.Survey -> ConfigurationTransition(takeSurvey(ended, fanout))

        is FanoutPurpose.Preparation -> endPreparation(ended, fanout, purpose.operator, nowMilliseconds)

        is FanoutPurpose.Confirmation -> endConfirmation(ended, fanout, purpose.operator, nowMilliseconds)
    }
}

/** The number of instances that [fanout] reached, this one included, that serve under its version or a newer one. */
internal fun countConfirmed(
    state: ConfigurationState,
    fanout: Fanout,
): Int = fanout.confirmed + if (state.initialised && state.version >= fanout.version) 1 else 0

/** Takes a majority that knew nothing newer as evidence from the start of the survey. */
internal fun takeSurvey(
    state: ConfigurationState,
    fanout: Fanout,
): ConfigurationState {
    val newest = fanout.highestVersion <= fanout.version
    if (!newest || !state.isMajority(countConfirmed(state, fanout))) return state
    return state.copy(certainty = state.certainty.renewed(Certainty(fanout.startMilliseconds)))
}

private fun endIfDone(
    state: ConfigurationState,
    number: Long,
    nowMilliseconds: Long,
): ConfigurationTransition =
    if (state.fanouts
            .getValue(number)
            .pending
            .isEmpty()
    ) {
        endFanout(state, number, nowMilliseconds)
    } else {
        ConfigurationTransition(state)
    }

private fun catchUp(
    state: ConfigurationState,
    version: Long,
    nowMilliseconds: Long,
): ConfigurationTransition =
    if (version > state.version) startRead(state, nowMilliseconds) else ConfigurationTransition(state)

/** Takes over what the sender of [confirmation] knows, dated back to the question. */
private fun believe(
    state: ConfigurationState,
    confirmation: VersionConfirmation,
    askedMilliseconds: Long,
): ConfigurationState {
    val freshAge = confirmation.freshAgeMilliseconds
    if (freshAge == null || confirmation.version > state.version) return state
    val told = Certainty(
        freshMilliseconds = askedMilliseconds - freshAge,
        storeMilliseconds = confirmation.storeAgeMilliseconds?.let { askedMilliseconds - it },
    )
    return state.copy(certainty = state.certainty.renewed(told))
}

private fun confirm(
    state: ConfigurationState,
    fanout: Fanout,
    nowMilliseconds: Long,
): VersionConfirmation {
    val certainty = state.certainty
    return VersionConfirmation(
        instance = state.instance,
        incarnation = state.incarnation,
        version = maxOf(fanout.highestVersion, state.version),
        confirmed = countConfirmed(state, fanout),
        patches = state.recent.filter { it.version > fanout.version }.take(ANSWERED_PATCHES),
        freshAgeMilliseconds = certainty.freshMilliseconds?.let { nowMilliseconds - it },
        storeAgeMilliseconds = certainty.storeMilliseconds?.let { nowMilliseconds - it },
    )
}

private fun announceTo(
    state: ConfigurationState,
    number: Long,
    index: Int,
    nowMilliseconds: Long,
): ConfigurationEffect.Announce {
    val fanout = state.fanouts.getValue(number)
    val delegation = fanout.pending.getValue(index)
    val leftMilliseconds = fanout.endMilliseconds - nowMilliseconds
    val callMilliseconds = (leftMilliseconds * CALL_PERCENT / PERCENT).coerceAtLeast(1)
    return ConfigurationEffect.Announce(
        fanout = number,
        delegation = index,
        address = delegation.candidates.first().address,
        timeoutMilliseconds = callMilliseconds,
        announcement = VersionAnnouncement(
            instance = state.instance,
            incarnation = state.incarnation,
            version = fanout.version,
            patches = fanout.patches,
            rangeFrom = delegation.range.from,
            rangeTo = delegation.range.to,
            timeoutMilliseconds = callMilliseconds * PASSED_ON_PERCENT / PERCENT,
        ),
    )
}

private const val ANSWERED_PATCHES = 4
private const val PERCENT = 100

/** Part of the time left that a candidate gets, so that there is time for another one after it. */
private const val CALL_PERCENT = 75

/** Part of that time that the candidate may take for its own calls. */
private const val PASSED_ON_PERCENT = 85
