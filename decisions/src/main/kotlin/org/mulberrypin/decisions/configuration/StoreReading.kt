/** Applies new configuration versions that were read from the table service or received from peers. */
package org.mulberrypin.decisions.configuration

import kotlinx.collections.immutable.toPersistentList
import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration

/** Applies newer versions; a patch that is not newer, or whose predecessor is missing, is ignored. */
internal fun applyNewerVersions(
    state: ConfigurationState,
    snapshot: Configuration?,
    patches: List<AcceptedPatch>,
): ConfigurationTransition {
    val newerSnapshot = snapshot?.takeIf { it.version > state.version }
    var configuration = newerSnapshot ?: state.configuration
    val applied = patches.sortedBy { it.version }.filter { accepted ->
        val isNext = accepted.version == configuration.version + 1
        if (isNext) configuration = applyChanges(configuration, accepted.patch)
        isNext
    }
    if (configuration.version == state.version) return ConfigurationTransition(state)
    val recentPatches = if (newerSnapshot == null) state.recentPatches + applied else applied
    val updated = state.copy(
        configuration = configuration,
        recentPatches = recentPatches.takeLast(RECENT_PATCH_LIMIT).toPersistentList(),
    )
    return ConfigurationTransition(updated, listOf(ConfigurationEffect.ApplyConfiguration(configuration)))
}

/**
 * Starts a read of the table service unless another one is pending. A read without a result counts as lost after
 * [READ_TIMEOUT_MILLISECONDS].
 */
internal fun startRead(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val pendingStartMilliseconds = state.readStartMilliseconds
    if (pendingStartMilliseconds != null && nowMilliseconds - pendingStartMilliseconds < READ_TIMEOUT_MILLISECONDS) {
        return ConfigurationTransition(state.copy(nextReadMilliseconds = nowMilliseconds))
    }
    return ConfigurationTransition(
        state.copy(readStartMilliseconds = nowMilliseconds),
        listOf(ConfigurationEffect.ReadStore(state.version)),
    )
}

/** Clears the pending read and schedules the next one after the poll interval. */
internal fun endRead(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationState =
    state.copy(
        readStartMilliseconds = null,
        nextReadMilliseconds = nowMilliseconds + state.timeLimits.pollMilliseconds,
    )

/** Applies the result of a read. A read that returned an older version than the local one renews no evidence. */
internal fun handleStoreRead(
    state: ConfigurationState,
    event: ConfigurationEvent.StoreRead,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val readEnded = endRead(state, nowMilliseconds)
    if (event.version < state.version) return ConfigurationTransition(readEnded)
    return applyNewerVersions(readEnded, event.snapshot, event.patches)
        .then { updated -> ConfigurationTransition(renewEvidence(updated, event, nowMilliseconds)) }
        .then { validateAfterRead(it, event.startMilliseconds, nowMilliseconds) }
}

private fun renewEvidence(
    state: ConfigurationState,
    event: ConfigurationEvent.StoreRead,
    nowMilliseconds: Long,
): ConfigurationState {
    if (state.version < event.version) return state.copy(nextReadMilliseconds = nowMilliseconds)
    val evidence = VersionEvidence(event.startMilliseconds, event.startMilliseconds)
    return state.copy(hasReadStore = true, evidence = state.evidence.mergedWith(evidence))
}

private const val READ_TIMEOUT_MILLISECONDS = 10_000L
